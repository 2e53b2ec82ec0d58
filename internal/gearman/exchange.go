package gearman

import (
	"errors"
	"strconv"

	"tinroute.example/tinroute/balance"
)

// exchange is the client's state machine for one job. It is fed the packets received and does
// no I/O.
type exchange struct {
	handle     string // empty until JOB_CREATED
	started    bool   // onStarted has been called
	result     []byte // encoded by appendResultPart
	exception  []byte
	onStarted  func()
	onProgress func(share float64)
}

// handlePacket handles the server's next packet. When the job has ended, ended is true and status
// is its outcome. An error means that the server violated the protocol or answered ERROR, and that
// the connection must not be used again.
func (x *exchange) handlePacket(p *Packet) (status balance.Status, ended bool, err error) {
	if x.handle == "" {
		switch p.Type {
		case JobCreated:
			if x.handle = string(p.Body); x.handle == "" {
				return balance.StatusError, true, errors.New("JOB_CREATED without a handle")
			}
			return 0, false, nil
		case Error: // the server did not accept the job
			return balance.StatusFull, true, errors.New("ERROR: " + printable(p.Body))
		}
		return balance.StatusError, true, errors.New("expected JOB_CREATED, got packet type " + strconv.Itoa(int(p.Type)))
	}
	if p.Type == Error {
		return balance.StatusError, true, errors.New("ERROR: " + printable(p.Body))
	}
	argCount := 2
	switch p.Type {
	case WorkFail:
		argCount = 1
	case WorkStatus:
		argCount = 3
	}
	args, err := p.Args(argCount)
	if err != nil {
		return balance.StatusError, true, err
	}
	if string(args[0]) != x.handle {
		return balance.StatusError, true, errors.New("packet for another job: " + printable(args[0]))
	}
	switch p.Type {
	case WorkStatus:
		x.handleStatus(args[1], args[2])
	case WorkData, WorkWarning, WorkComplete: // kept until the job ends: if the job runs twice, only one of the results is used
		if len(x.result)+len(args[1]) > maxBodyBytes {
			return balance.StatusError, true, errPacketTooLarge
		}
		if x.result = appendResultPart(x.result, p.Type, args[1]); p.Type == WorkComplete {
			return balance.StatusOK, true, nil
		}
	case WorkException:
		x.exception = args[1]
		return balance.StatusError, true, nil
	case WorkFail:
		return balance.StatusError, true, nil
	default:
		return balance.StatusError, true, errors.New("unexpected packet type " + strconv.Itoa(int(p.Type)))
	}
	return 0, false, nil
}

// handleStatus handles a WORK_STATUS. The first one means that the job has started.
func (x *exchange) handleStatus(numerator, denominator []byte) {
	if !x.started {
		x.started = true
		x.onStarted()
	}
	done, err1 := strconv.ParseFloat(string(numerator), 64)
	total, err2 := strconv.ParseFloat(string(denominator), 64)
	if err1 == nil && err2 == nil && done > 0 && total >= done {
		x.onProgress(done / total)
	}
}

func printable(b []byte) string {
	if len(b) > 80 {
		b = b[:80]
	}
	return strconv.QuoteToASCII(string(b))
}
