package loommeasure

import (
	"math"
	"time"

	"github.com/xdg-go/scram"
)

const (
	loginPassword = "correct horse"
	// loginIterations is the number of SCRAM iterations of the verifiers in loomentry.
	loginIterations = 4096
)

// login runs a SCRAM exchange and returns the processor times of both sides.
func login(client *scram.Client, server *scram.Server) (atClient, atServer time.Duration, err error) {
	c, s := client.NewConversation(), server.NewConversation()
	message := ""
	for !s.Done() {
		start := processorTime()
		message, err = c.Step(message)
		atClient += processorTime() - start
		if err != nil {
			return 0, 0, err
		}
		start = processorTime()
		message, err = s.Step(message)
		atServer += processorTime() - start
		if err != nil {
			return 0, 0, err
		}
	}
	return atClient, atServer, nil
}

// logins returns the processor times of n logins in microseconds. Each client computes its keys anew, as a new
// connection of loomserver does.
func logins(n int, anew bool) (atClient, atServer float64, err error) {
	client, err := scram.SHA256.NewClient("caller-001", loginPassword, "")
	if err != nil {
		return 0, 0, err
	}
	stored, err := client.GetStoredCredentialsWithError(
		scram.KeyFactors{Salt: "sixteen bytes of", Iters: loginIterations})
	if err != nil {
		return 0, 0, err
	}
	var clientTime, serverTime time.Duration
	for range n {
		if anew {
			if client, err = scram.SHA256.NewClient("caller-001", loginPassword, ""); err != nil {
				return 0, 0, err
			}
		}
		start := processorTime()
		server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return stored, nil })
		if err != nil {
			return 0, 0, err
		}
		serverTime += processorTime() - start
		c, s, err := login(client, server)
		if err != nil {
			return 0, 0, err
		}
		clientTime, serverTime = clientTime+c, serverTime+s
	}
	return float64(clientTime.Microseconds()), float64(serverTime.Microseconds()), nil
}

// leastLogins returns the least processor times of several batches of logins.
func leastLogins(n int, anew bool) (atClient, atServer float64, err error) {
	const batches = 5
	atClient, atServer = math.Inf(1), math.Inf(1)
	for range batches {
		c, s, err := logins(n, anew)
		if err != nil {
			return 0, 0, err
		}
		atClient, atServer = min(atClient, c), min(atServer, s)
	}
	return atClient, atServer, nil
}

func loginAtNode(n int) (float64, error) {
	_, t, err := leastLogins(n, false)
	return t, err
}

func loginAsClient(n int) (float64, error) {
	t, _, err := leastLogins(n, true)
	return t, err
}
