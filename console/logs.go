package console

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"io"
	"strings"

	"github.com/rotisserie/eris"

	"lycheecrank.example/editor"
	"lycheecrank.example/event"
	"lycheecrank.example/precedence"
	"lycheecrank.example/provider"
)

// NewLogConsole returns a console that finds decision records in log files of
// instances on the users' platform. Anchors reads the ends of the chains from the
// platform's store; it may be nil.
func NewLogConsole(anchors func(ctx context.Context) ([]precedence.Anchor, error), logs ...io.Reader) (*Console, error) {
	records, err := decisionRecords(logs...)
	if err != nil {
		return nil, err
	}
	return &Console{
		Load: func(context.Context) (editor.History, error) {
			return editor.History{}, eris.New("the store keeps only the newest configuration")
		},
		Read: func(_ context.Context, _ string, from uint64) (provider.Page, error) {
			page := provider.Page{Earliest: 1, Next: uint64(len(records)) + 1}
			if from = max(1, from); from < page.Next {
				page.Records = records[from-1:]
			}
			return page, nil
		},
		Anchors: anchors,
		Timeout: 1,
	}, nil
}

// maxDecisionLine bounds a line with decision records.
const maxDecisionLine = 4 << 20

// decisionRecords returns the sealed batches of log files, in the order of the
// lines. Text before the JSON of a line is passed over.
func decisionRecords(logs ...io.Reader) ([]provider.Record, error) {
	var records []provider.Record
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxDecisionLine)
		for scanner.Scan() {
			data, ok := decisionLine(scanner.Text())
			if !ok {
				continue
			}
			records = append(records, provider.Record{Offset: uint64(len(records)) + 1, Data: data})
		}
		if err := scanner.Err(); err != nil {
			return nil, eris.Wrap(err, "read log")
		}
	}
	return records, nil
}

// decisionLine returns the sealed batch of a line. One that can't be decoded is
// returned as it stands, so that it shows as unreadable.
func decisionLine(text string) ([]byte, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil, false
	}
	var line struct {
		Event int    `json:"event"`
		Data  string `json:"data"`
	}
	if json.Unmarshal([]byte(text[start:]), &line) != nil || line.Event != event.DecisionRecords.Number {
		return nil, false
	}
	data, err := base64.StdEncoding.DecodeString(line.Data)
	if err != nil {
		return []byte(line.Data), true
	}
	return data, true
}
