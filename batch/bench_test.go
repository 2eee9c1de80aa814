package batch

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkCall measures how the coordinator of a large site schedules one call of a
// pool with 18 servers, 10 pieces in a call and up to 1,000 waiting pieces.
func BenchmarkCall(b *testing.B) {
	for _, waiting := range []int{20, 200, 1000} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			t := NewTable()
			var endpoints []Endpoint
			for n := range 18 {
				id := fmt.Sprint("s", n)
				endpoints = append(endpoints, Endpoint{ID: id, Address: id + ":1", DataCentre: fmt.Sprint("dc", n%4)})
			}
			t.Commands().SetPool(Spec{
				Pool: "p", Slots: 1, MaxPieces: 10, CallTime: 200 * time.Millisecond, ItemTime: 17 * time.Millisecond,
				ResultMemoryBytes: 1 << 40, ResultLifetime: time.Hour,
			}, endpoints)
			number := 0
			enqueue := func(pieces int) {
				now := time.Now()
				for n := range pieces / 5 {
					number++
					var request []Piece
					for k := range 5 {
						request = append(request, Piece{
							Identity: Identity{RequestID: fmt.Sprint("r", number), Number: k}, Pool: "p", ResultBytes: 60_000,
							Inputs: []string{"h1", "h2"}, InputSizes: []InputSize{{"dc1", 100_000}}, Class: Class{Rank: n % 3},
							LatestStart: now.Add(time.Duration(n) * time.Minute), Deadline: now.Add(time.Hour),
						})
					}
					t.Commands().Enqueue(request)
				}
			}
			enqueue(waiting)
			b.ReportAllocs()
			for b.Loop() {
				c, ok := t.Commands().Next(context.Background())
				if !ok {
					b.Fatal("no call")
				}
				t.Commands().CompleteCall(c, nil, time.Now())
				enqueue(len(c.Pieces))
			}
		})
	}
}
