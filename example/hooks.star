# An example of hooks with custom rules. To use it, set "hooks": ["example/hooks.star"] in the configuration.

# Tenants whose pricing is closed, each with the seconds after which clients may retry.
CLOSED = {"souss-actions": 1.5}

def on_transaction(tx):
    if tx.tenant in CLOSED:
        return {"refuse": "pricing of " + tx.tenant + " is closed", "retry_after_s": CLOSED[tx.tenant]}
    if tx.tenant == None and tx.class_name == "nav-run":
        return {"tenant": "argane-epargne"}
    if tx.cost_s == 0:
        return {"cost_s": 0.4}

def on_outcome(task):
    if task.status == "reset":
        print("region", task.region, "lost", task.id, "after", task.elapsed_s, "s")
