package conductor

import "time"

// Timing and limits of the machine. Those that the deployment sets are in Settings.
const (
	// maxTickInterval is the longest time between two events; a Ticked event is due then even if nothing else is.
	maxTickInterval = 500 * time.Millisecond
	// deadlineMargin is how long before its time limit a request is given up, so that the answer reaches the caller in
	// time.
	deadlineMargin = 20 * time.Millisecond
	// minEventTimeout, eventTimeoutObjectives and eventTimeoutGaps give how long callers wait for an event of a
	// stream: the maximum of minEventTimeout, that many latency objectives, and that many of the event gaps that the
	// route allows.
	minEventTimeout        = 2 * time.Second
	eventTimeoutObjectives = 4
	eventTimeoutGaps       = 8
	// eventTimeoutMargin is how long before the caller's timeout the daemon gives up.
	eventTimeoutMargin = 100 * time.Millisecond
	// maxSends bounds the sends of one request, including those that servers rejected.
	maxSends = 5
	// firstTimeoutObjectives is after how many latency objectives without an answer a repeatable request is sent to
	// another server.
	firstTimeoutObjectives = 4
	// minFirstTimeout is the minimum of that time.
	minFirstTimeout = 400 * time.Millisecond
	// firstTimeoutShare is the share of a repeatable request's remaining time that one server may take without
	// answering.
	firstTimeoutShare = 0.4
	// connectTimeoutShare is the share of a request's remaining time that a connection may take to open, within minConnectTimeout
	// and maxConnectTimeout.
	connectTimeoutShare = 0.25
	minConnectTimeout   = 100 * time.Millisecond
	maxConnectTimeout   = time.Second
	// busyLoad is the number of requests per slot from which on a silent server may be busy with other daemons' requests, whose
	// numbers are known late.
	busyLoad = 0.5
	// fullBackoff is how long a server that had no free slot gets no requests.
	fullBackoff = 60 * time.Millisecond
	// absentTTL is how long a model that a server lacked counts as not loaded there without new information.
	absentTTL = 1500 * time.Millisecond
	// adviceTTL is how long what a server has told this daemon itself takes precedence over the leader's message.
	adviceTTL = 2 * time.Second
	// sendMargin is added to the expected time of an answer, for variance and delays of timers.
	sendMargin = 50 * time.Millisecond
	// rateRetryDelay is the retry delay for a service whose servers take no requests from this daemon at their rate.
	rateRetryDelay = time.Second
	// probeRepeats is the number of repeats that the budget must have left for a probe, so that other requests can be repeated as well.
	probeRepeats = 2
	// downTTL is how long a server that accepted no connection counts as down.
	downTTL = 1500 * time.Millisecond
	// maxConnectFailures bounds the failed connections of one request.
	maxConnectFailures = 6
	// answerWeight is the weight of the latest answer in the moving averages of a server's error share and latency.
	answerWeight = 0.1
	// otherRequestsWeight is the weight of the latest count in the moving average of other daemons' requests at a
	// server.
	otherRequestsWeight = 0.15

	// entryRecoveryTimeout is how long after an outage of the store removed entries may be registered again. Removals
	// near an outage take effect only after it.
	entryRecoveryTimeout = 2200 * time.Millisecond
	// outageRemovalWindow is how long after an outage a removal may still be a consequence of it.
	outageRemovalWindow = 3 * time.Second

	// entryExpiryMargin is added to the time in which the store removes the entry of a server that is gone.
	entryExpiryMargin = time.Second

	// renewalsPerLease is how often a lease is renewed within its TTL.
	renewalsPerLease = 4
	// leaseMargin is how much earlier than at the store a lease counts as expired here.
	leaseMargin = 250 * time.Millisecond
	// leaseRetryDelay is the delay before a failed renewal or registration is retried.
	leaseRetryDelay = 300 * time.Millisecond
	// electionStagger is the delay between the daemons' attempts to become the leader, in order of their election
	// rank.
	electionStagger = 150 * time.Millisecond
	// maxOutageLeadership is how long a leader continues in an outage of the store if engines check fencing tokens.
	maxOutageLeadership = 20 * time.Second

	// demandInterval is how often demand is reported to the leader, urgentDemandDelay the delay after a new cold
	// request.
	demandInterval    = 400 * time.Millisecond
	urgentDemandDelay = 3 * time.Millisecond
	// demandTTL is how long a daemon's reported demand counts.
	demandTTL = 2 * time.Second
	// fleetInterval is how often the leader sends the numbers of requests, fleetDelay how long after a change it sends that
	// change.
	fleetInterval = time.Second
	fleetDelay    = 10 * time.Millisecond
	// loadingTolerance is by how much a load may be expected at another time than the other daemons know.
	loadingTolerance = 100 * time.Millisecond
	// fleetRequestInterval is the least time between the first two requests for a whole view. It doubles fleetRequestDoublings times, since
	// the view may take long to arrive at a large fleet.
	fleetRequestInterval  = 500 * time.Millisecond
	fleetRequestDoublings = 4
	// goneServerTTL is how long a server that is no longer in the leader's view is remembered.
	goneServerTTL = time.Minute
	// forecastInterval is how often the ready times of models that get no order are forecast again.
	forecastInterval = 200 * time.Millisecond
	// fleetTTL is how long the leader's report of a server takes precedence over the server's own entry.
	fleetTTL = 2500 * time.Millisecond

	// orderTTL is how long an order may wait to be sent.
	orderTTL = 500 * time.Millisecond
	// reportLag is the maximum age of the values in a report.
	reportLag = 500 * time.Millisecond
	// reportInterval is how often the leader polls a server with work in progress.
	reportInterval = 500 * time.Millisecond
	// idleReportInterval is how often the leader polls an idle server.
	idleReportInterval = 8 * time.Second
	// ownOrderTTL is how long the effects of the leader's own orders take precedence over a server's entry.
	ownOrderTTL = 2500 * time.Millisecond
	// adapterLoadTime is how long an adapter takes to load, with a margin.
	adapterLoadTime = 12 * time.Millisecond
	// loadTimeMargin is added to predicted load times.
	loadTimeMargin = 150 * time.Millisecond
	// rateShareInterval is how often the shares of rates are updated if no daemon registers.
	rateShareInterval = time.Second
	// daemonShareTTL is how long a daemon whose record was removed keeps its share of budgets and rates.
	daemonShareTTL = 10 * time.Second
	// electionTime is how long a change of leader takes, without the delay between the two leaders' orders.
	electionTime = 2 * time.Second

	// brittleWindow is the time in which a brittle server's rejections count, and for which it is left alone after this daemon's part
	// of them.
	brittleWindow = time.Second
	// maxLinkChecks is the number of servers that are checked before the link counts as down, linkCheckGrowth how many more are
	// checked in each round than in all before. Many servers may have ended together.
	maxLinkChecks   = 12
	linkCheckGrowth = 2
	// linkCheckInterval is how often linkRechecks servers are checked while the link is down.
	linkCheckInterval = 500 * time.Millisecond
	linkRechecks      = 2
	// linkRetryDelay is the retry delay for a request that neither this daemon nor another one could serve for lack of links.
	linkRetryDelay = 500 * time.Millisecond
	// delegatingFailures is the number of servers that accept no connection for a request until another daemon gets it.
	delegatingFailures = 2
	// maxDelegations bounds the daemons that one request is passed on to.
	maxDelegations = 3
	// silentPollsOfDown is the number of polls in a row without an answer after which an engine that a daemon couldn't reach counts
	// as down. An engine may be silent for a second.
	silentPollsOfDown = 2

	// crashDetectionMargin is how long after the removal of a crashed server's entry it is known here at the latest.
	crashDetectionMargin = 2 * time.Second
	// crashPollDelay is how long after a broken connection a server is polled to find out whether it has ended, crashPolls
	// how often and crashPollInterval the time in between.
	crashPollDelay    = 20 * time.Millisecond
	crashPolls        = 2
	crashPollInterval = 200 * time.Millisecond
	// crashLag is how long after the end of an attempt its server may end because of it. An answer counts for a request only
	// once its server has outlived it.
	crashLag = 250 * time.Millisecond
	// maxEndedAttempts bounds the attempts that are kept for each server until it has outlived them.
	maxEndedAttempts = 256
	// evidenceKeepers is the number of daemons that merge the evidence of crashes.
	evidenceKeepers = 2
	// evidenceDelay is how long new evidence is collected before it is sent, evidenceRepetitions how often it is sent and
	// evidenceRepeatInterval the time in between.
	evidenceDelay          = 100 * time.Millisecond
	evidenceRepetitions    = 2
	evidenceRepeatInterval = 300 * time.Millisecond
	// maxEvidenceSources is the number of daemons that one that has just started asks for evidence, catchUpTimeout how long it waits
	// for them, and maxSentTraits the number of traits in an answer.
	maxEvidenceSources = 4
	catchUpTimeout     = 400 * time.Millisecond
	maxSentTraits      = 64
	// maxReportedTraits bounds the traits that are remembered as reported.
	maxReportedTraits = 4096
	// broadcastDelay is how long a keeper waits for the store to take a quarantine before it tells all daemons itself.
	broadcastDelay = 200 * time.Millisecond
	// expiryInterval is how often old evidence is dropped.
	expiryInterval = time.Second
	// quarantineInterval is how often a keeper sends all quarantines again that the store doesn't have.
	quarantineInterval = 5 * time.Second
	// quarantineRecordTTL is how long a quarantine's record outlives its last writing. Leases last no longer.
	quarantineRecordTTL = 10 * time.Minute
	// secondKeeperDelay is how long the second keeper waits for a record of the first one in the store, recordRetryDelay how long a
	// keeper waits for its own before it writes that again.
	secondKeeperDelay = 500 * time.Millisecond
	recordRetryDelay  = time.Second
	// recordWritesPerSecond and recordWriteBurst bound the records of quarantines that a keeper writes or deletes, whatever crashes.
	// recordWriteInterval is how often the records that had to wait are compared again.
	recordWritesPerSecond = 4
	recordWriteBurst      = 8
	recordWriteInterval   = 250 * time.Millisecond
	// probeRetryDelay is the least retry delay for a request that is held back because such requests crash servers.
	probeRetryDelay = 5 * time.Second

	// minRegistrars is the minimum number of daemons that hold origins, daemonsPerRegistrar the number of daemons for each of them.
	minRegistrars       = 4
	daemonsPerRegistrar = 4
	// maxTokenAge is how long after its tokens were granted a request may be sent. One that waits longer asks again, so that a queue which
	// empties at once doesn't exceed the quota.
	maxTokenAge = 500 * time.Millisecond
	// quotaRetryDelay is the retry delay if no keeper of a quota answers, quotaLogInterval the least time between two log lines on that.
	quotaRetryDelay  = 300 * time.Millisecond
	quotaLogInterval = 10 * time.Second
	// loadPollInterval is how often a resumption checks whether the records of services with several versions have been read.
	loadPollInterval = 150 * time.Millisecond
	// maxCountedWorkspaces bounds the workspaces with a count of their own.
	maxCountedWorkspaces = 64
	// historyInterval is how often the histories of versions are compared with the store's.
	historyInterval = 50 * time.Millisecond
	// versionInterval is how often the registered versions are noted.
	versionInterval = time.Second

	// noServerRetryDelay is the retry delay for a service without servers: about the time that a server takes to
	// restart.
	noServerRetryDelay = 2 * time.Second
	// fullRetryDelay is the minimum retry delay for a service without a free slot.
	fullRetryDelay = 500 * time.Millisecond
	// stopRetryDelay is the delay after which a caller of a stopping daemon may try another daemon.
	stopRetryDelay = 50 * time.Millisecond
)
