// Package soak plays random faults against real processes of the users' platform's
// front end (lycheecrank entry) on one machine, and checks from what clients and
// backend servers see that the promises of docs/PROMISES.md hold. It has only tests.
//
// A run is a seed. If it divides by four, there is only planned work, under more load than
// the workers bear. go test ./soak plays the seeds of testdata/seeds.txt, which failed
// once, and a fixed one; more of them:
//
//	go test ./soak -soak.seeds 50 -soak.length 10s -timeout 30m
//
// With many processes:
//
//	go test ./soak -soak.seed 2 -soak.length 20s -soak.instances 40 -soak.clients 80
package soak
