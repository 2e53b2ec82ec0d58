def on_transaction(tx):
    if tx.class_name == "nav-run":
        return {"refuse": "no runs today", "retry_after_s": 1.5}
