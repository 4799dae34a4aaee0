package conductor

import "time"

// The machine's own times and bounds. Those that the deployment sets are in Settings.
const (
	// idleWake is how often time passes if nothing is due.
	maxTickInterval = 500 * time.Millisecond
	// giveUpMargin is how long before its end a request is given up, so that the answer reaches the caller in time.
	deadlineMargin = 20 * time.Millisecond
	// streamPatience, patienceObjectives and patienceGaps give how long callers wait for an event of a stream: the
	// longest of the first, that many objectives, and that many of the pauses that the route allows.
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutGaps       = 8
	// patienceMargin is how much sooner the daemon stops counting on a caller.
	eventTimeoutMargin = 100 * time.Millisecond
	// maxSends bounds the sends of one request, refused ones included.
	maxSends = 5
	// silentObjectives is after how many objectives without an answer a repeatable request is tried elsewhere.
	firstTimeoutObjectives = 4
	// minSilence is the least of that time.
	minFirstTimeout = 400 * time.Millisecond
	// silentShare is the part of a repeatable request's time that one server may use up in silence.
	firstTimeoutShare = 0.4
	// fullPause is how long a server that had no place is left alone.
	fullBackoff = 60 * time.Millisecond
	// absentPause is how long a server that lacked a model is not believed to have it without new evidence.
	absentTTL = 1500 * time.Millisecond
	// avoidFirst and avoidMost are how long a server is avoided after its first failure in a row, and at most.
	minServerBackoff = 300 * time.Millisecond
	maxServerBackoff = 4 * time.Second
	// downPause is how long a server that took no connection counts as not there.
	downTTL = 1500 * time.Millisecond
	// maxConnects bounds the servers that take no connection for one request.
	maxConnectFailures = 6
	// errorWeight is the weight of the latest answer in a server's share of errors and in its latency.
	answerWeight = 0.1
	// crossZoneScore is what a server in another zone costs against one in the daemon's, in units of its full load.
	crossZoneCost = 0.15
	// othersWeight is the weight of the latest count in the others' requests at a server.
	otherRequestsWeight = 0.15
	// staleSpread is the range of chance in a server's score where staleDaemons or more choose by old counts of each
	// other, so that they don't all choose the same one.
	maxScoreJitter    = 0.6
	fullJitterDaemons = 30.0
	// keptScore is what having read the whole prompt is worth.
	cachedPromptBonus = 0.3
	// slowScore weighs how much slower than its fellows a server answers, up to slowMost.
	latencyCost        = 0.3
	maxRelativeLatency = 2.0
	// maxKeptParts bounds the parts of prompts that are remembered for each server.
	maxCachedParts = 2048

	// storeRecovery is how long after an outage of the key-value service removed entries may come back, and
	// removals near an outage are not yet believed.
	entryRecoveryTimeout = 2200 * time.Millisecond
	// storeShadow is how long after an outage a removal may still be its consequence.
	outageRemovalWindow = 3 * time.Second

	// leaseRenewals is how often a lease is renewed in its life.
	renewalsPerLease = 4
	// leaseMargin is how much sooner than at the service a lease counts as ended here.
	leaseMargin = 250 * time.Millisecond
	// leaseRetry is the pause before a renewal that failed is sent again.
	leaseRetryDelay = 300 * time.Millisecond
	// roleStagger is the pause between the daemons' attempts at a free role, in order of their names.
	electionStagger = 150 * time.Millisecond
	// roleRetry is the pause before an attempt at the role is made again.
	electionRetryDelay = time.Second
	// turnMargin is added to the pause between two holders' orders.
	takeoverMargin = 150 * time.Millisecond
	// outageLead is how long a holder goes on through an outage of the key-value service where engines check fences.
	maxOutageLeadership = 20 * time.Second

	// demandInterval is how often demand is told to the holder, and demandSoon after how long a new cold request is.
	demandInterval    = 400 * time.Millisecond
	urgentDemandDelay = 3 * time.Millisecond
	// demandLife is how long a daemon's demand counts without news.
	demandTTL = 2 * time.Second
	// interestLife is how long a refused request counts as demand.
	refusalTTL = 8 * time.Second
	// rateWeight is the time constant of the arrival rates.
	rateTimeConstant = 6 * time.Second
	// fleetInterval is how often the holder tells all it believes, and fleetSoon after how long a change.
	fleetInterval = time.Second
	fleetDelay    = 10 * time.Millisecond
	// forecastInterval is how often it is foretold anew when models that get no order can be there.
	forecastInterval = 200 * time.Millisecond
	// fleetTrust is how long the holder's statement on a server takes precedence over the server's own entry.
	fleetTTL = 2500 * time.Millisecond

	// orderLife is how long an order may wait to be sent.
	orderTTL = 500 * time.Millisecond
	// reportLag is how old the values of a report may be.
	reportLag = 500 * time.Millisecond
	// reportInterval is how often the holder reads the report of a server at which something is open.
	reportInterval = 500 * time.Millisecond
	// idleReportInterval is how often it reads the others'.
	idleReportInterval = 8 * time.Second
	// ownOrderTrust is how long the effects of the holder's own orders take precedence over a server's entry.
	ownOrderTTL = 2500 * time.Millisecond
	// adapterTime is how long an adapter takes to load, with a margin.
	adapterLoadTime = 12 * time.Millisecond
	// loadSlack is added to predicted load times.
	loadTimeMargin = 150 * time.Millisecond
	// takeoverSlack is how long a change of holder takes besides the pause between orders.
	electionTime = 2 * time.Second

	// convictCrashes is after how many crashes a request is refused.
	poisonCrashes = 3
	// crashWindow is how long after a broken connection the server's end counts as a crash.
	crashWindow = 2 * time.Second
	// crashLife is how long crashes are remembered.
	crashTTL = 2 * time.Minute

	// noServerRetry is when a service without servers is worth asking again: about a server's restart.
	noServerRetryDelay = 2 * time.Second
	// fullRetry is when a service without a free place is.
	fullRetryDelay = 500 * time.Millisecond
	// stopRetry is when a caller of a stopping daemon may ask another one.
	stopRetryDelay = 50 * time.Millisecond
	// stopStreams is how long a stopping daemon takes new streams, which could not end in time later.
	stopStreamWindow = 2500 * time.Millisecond
	// stopSlack is how long before the end of a planned stop the last answer has to be out.
	stopAnswerMargin = 100 * time.Millisecond
	// stopMargin is how long before the end of a planned stop the process ends.
	stopExitMargin = 600 * time.Millisecond
	// stopQuiet is how long after the last request a stopping daemon, whose addresses have expired, ends.
	stopIdleTime = 500 * time.Millisecond
)
