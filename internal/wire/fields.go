package wire

import (
	"encoding/base64"
	"fmt"
	"math"
	"time"

	"github.com/valyala/fastjson"
)

// fail records an error in the current message, unless there is one already.
func (d *Decoder) fail(field, problem string) {
	if d.err == nil {
		d.err = fmt.Errorf("%s: %s: %s", d.message, field, problem)
	}
}

// field returns field i of the current message, or nil if it is missing or null.
func (d *Decoder) field(i int) *fastjson.Value {
	if i >= len(d.fields) || d.fields[i].Type() == fastjson.TypeNull {
		return nil
	}
	return d.fields[i]
}

// number decodes field i as a finite number. It returns 0 if the field is missing.
func (d *Decoder) number(i int, field string, required bool) float64 {
	v := d.field(i)
	if v == nil {
		if required {
			d.fail(field, "missing")
		}
		return 0
	}
	x, err := v.Float64()
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		d.fail(field, "not a number")
		return 0
	}
	return x
}

// integer decodes field i, which is required, as a non-negative integer.
func (d *Decoder) integer(i int, field string) int64 {
	v := d.field(i)
	if v == nil {
		d.fail(field, "missing")
		return 0
	}
	x, err := v.Int64()
	if err != nil || x < 0 {
		d.fail(field, "not a whole number")
	}
	return x
}

// seconds decodes field i as a duration in seconds. It limits the value to about a year, so that sums of
// durations cannot overflow.
func (d *Decoder) seconds(i int, field string, required bool) time.Duration {
	x := d.number(i, field, required)
	return time.Duration(math.Round(max(-3e7, min(x, 3e7))*1e6)) * time.Microsecond
}

// text decodes field i as a string. It returns nil if the field is missing.
func (d *Decoder) text(i int, field string, required bool) []byte {
	v := d.field(i)
	if v == nil {
		if required {
			d.fail(field, "missing")
		}
		return nil
	}
	if !required && v.Type() == fastjson.TypeNumber { // the simulator may send 0 for a missing name
		return nil
	}
	b, err := v.StringBytes()
	if err != nil {
		d.fail(field, "not text")
	}
	return b
}

// index decodes field i as a name and returns the name's index, or -1 if the field is missing.
func (d *Decoder) index(i int, field string, indexes map[string]int, required bool) int {
	text := d.text(i, field, required)
	if text == nil {
		return -1
	}
	index, ok := indexes[string(text)]
	if !ok {
		d.fail(field, fmt.Sprintf("unknown name %q", text))
		return -1
	}
	return index
}

// decodeData decodes field i as base64 into the event's Data.
func (d *Decoder) decodeData(i int, field string) {
	text := d.text(i, field, true)
	out, err := base64.StdEncoding.AppendDecode(d.event.Data, text)
	if err != nil {
		d.fail(field, "not base64")
	}
	d.event.Data = out
}
