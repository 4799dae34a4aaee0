package conductor

import "time"

// The machine's own times and bounds. Those that the deployment sets are in Settings.
const (
	// idleWake is how often time passes if nothing is due.
	idleWake = 500 * time.Millisecond
	// giveUpMargin is how long before its end a request is given up, so that the answer reaches the caller in time.
	giveUpMargin = 20 * time.Millisecond
	// streamPatience, patienceObjectives and patienceGaps give how long callers wait for an event of a stream: the
	// longest of the first, that many objectives, and that many of the pauses that the route allows.
	streamPatience     = 2 * time.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// patienceMargin is how much sooner the daemon stops counting on a caller.
	patienceMargin = 100 * time.Millisecond
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 5
	// silentObjectives is after how many objectives without an answer a repeatable request is tried elsewhere.
	silentObjectives = 4
	// minSilence is the least of that time.
	minSilence = 400 * time.Millisecond
	// silentShare is the part of a repeatable request's time that one server may use up in silence.
	silentShare = 0.4
	// fullPause is how long a server that had no place is left alone.
	fullPause = 60 * time.Millisecond
	// absentPause is how long a server that lacked a model is not believed to have it without new evidence.
	absentPause = 1500 * time.Millisecond
	// avoidFirst and avoidMost are how long a server is avoided after its first failure in a row, and at most.
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 4 * time.Second
	// downPause is how long a server that took no connection counts as not there.
	downPause = 1500 * time.Millisecond
	// maxConnects bounds the servers that take no connection for one request.
	maxConnects = 6
	// errorWeight is the weight of the latest answer in a server's share of errors and in its latency.
	errorWeight = 0.1
	// crossZoneScore is what a server in another zone costs against one in the daemon's, in units of its full load.
	crossZoneScore = 0.15
	// othersWeight is the weight of the latest count in the others' requests at a server.
	othersWeight = 0.15
	// staleSpread is the range of chance in a server's score where staleDaemons or more choose by old counts of each
	// other, so that they don't all choose the same one.
	staleSpread  = 0.6
	staleDaemons = 30.0
	// keptScore is what having read the whole prompt is worth.
	keptScore = 0.3
	// slowScore weighs how much slower than its fellows a server answers, up to slowMost.
	slowScore = 0.3
	slowMost  = 2.0
	// maxKeptParts bounds the parts of prompts that are remembered for each server.
	maxKeptParts = 2048

	// storeRecovery is how long after an outage of the key-value service removed entries may come back, and
	// removals near an outage are not yet believed.
	storeRecovery = 2200 * time.Millisecond
	// storeShadow is how long after an outage a removal may still be its consequence.
	storeShadow = 3 * time.Second

	// leaseRenewals is how often a lease is renewed in its life.
	leaseRenewals = 4
	// leaseMargin is how much sooner than at the service a lease counts as ended here.
	leaseMargin = 250 * time.Millisecond
	// leaseRetry is the pause before a renewal that failed is sent again.
	leaseRetry = 300 * time.Millisecond
	// roleStagger is the pause between the daemons' attempts at a free role, in order of their names.
	roleStagger = 150 * time.Millisecond
	// roleRetry is the pause before an attempt at the role is made again.
	roleRetry = time.Second
	// turnMargin is added to the pause between two holders' orders.
	turnMargin = 150 * time.Millisecond
	// outageLead is how long a holder goes on through an outage of the key-value service where engines check fences.
	outageLead = 20 * time.Second

	// demandInterval is how often demand is told to the holder, and demandSoon after how long a new cold request is.
	demandInterval = 400 * time.Millisecond
	demandSoon     = 3 * time.Millisecond
	// demandLife is how long a daemon's demand counts without news.
	demandLife = 2 * time.Second
	// interestLife is how long a refused request counts as demand.
	interestLife = 8 * time.Second
	// rateWeight is the time constant of the arrival rates.
	rateWeight = 6 * time.Second
	// fleetInterval is how often the holder tells all it believes, and fleetSoon after how long a change.
	fleetInterval = time.Second
	fleetSoon     = 10 * time.Millisecond
	// forecastInterval is how often it is foretold anew when models that get no order can be there.
	forecastInterval = 200 * time.Millisecond
	// fleetTrust is how long the holder's statement on a server takes precedence over the server's own entry.
	fleetTrust = 2500 * time.Millisecond

	// orderLife is how long an order may wait to be sent.
	orderLife = 500 * time.Millisecond
	// reportLag is how old the values of a report may be.
	reportLag = 500 * time.Millisecond
	// reportInterval is how often the holder reads the report of a server at which something is open.
	reportInterval = 500 * time.Millisecond
	// idleReportInterval is how often it reads the others'.
	idleReportInterval = 8 * time.Second
	// ownOrderTrust is how long the effects of the holder's own orders take precedence over a server's entry.
	ownOrderTrust = 2500 * time.Millisecond
	// adapterTime is how long an adapter takes to load, with a margin.
	adapterTime = 12 * time.Millisecond
	// loadSlack is added to predicted load times.
	loadSlack = 150 * time.Millisecond
	// takeoverSlack is how long a change of holder takes besides the pause between orders.
	takeoverSlack = 2 * time.Second

	// convictCrashes is after how many crashes a request is refused.
	convictCrashes = 3
	// crashWindow is how long after a broken connection the server's end counts as a crash.
	crashWindow = 2 * time.Second
	// crashLife is how long crashes are remembered.
	crashLife = 2 * time.Minute

	// noServerRetry is when a service without servers is worth asking again: about a server's restart.
	noServerRetry = 2 * time.Second
	// fullRetry is when a service without a free place is.
	fullRetry = 500 * time.Millisecond
	// stopRetry is when a caller of a stopping daemon may ask another one.
	stopRetry = 50 * time.Millisecond
	// stopStreams is how long a stopping daemon takes new streams, which could not end in time later.
	stopStreams = 2500 * time.Millisecond
	// stopSlack is how long before the end of a planned stop the last answer has to be out.
	stopSlack = 100 * time.Millisecond
	// stopMargin is how long before the end of a planned stop the process ends.
	stopMargin = 600 * time.Millisecond
	// stopQuiet is how long after the last request a stopping daemon, whose addresses have expired, ends.
	stopQuiet = 500 * time.Millisecond
)
