// Every constant of foxshunt, each with its unit (in the name or the type) and its reason. Figures of a
// deployment never stand here: they come from the deploy file.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "wire/limits.h"

namespace foxshunt::constants {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// ---- PROTOCOL's fixed figures ----
inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;  // request bodies, and answers to users
using wire::kTasksPerJobMost;
inline constexpr std::uint64_t kMaxScaleOutCount = 50;      // machines a rental request may ask for
inline constexpr std::size_t kMaxScaleInNames = 100;        // names a return request may hold
inline constexpr std::uint64_t kMaxCloudListPage = 500;     // machines in one page of the cloud's list
inline constexpr std::uint64_t kMaxStoreListPage = 1000;    // items in one page of a state listing
inline constexpr milliseconds kHeartbeatTimeout = 4s;       // a worker gives a report up after this
inline constexpr double kClockDrift = 0.0005;               // steady clocks differ by up to this share
inline constexpr milliseconds kStoreLeaseMaxDelay = 100ms;  // a state lease may end this much late

// ---- net ----
inline constexpr std::size_t kThreadStackBytes = 128 * 1024;  // deepest use measured is under half of it
inline constexpr int kListenBacklog = 2048;                   // a whole fleet connects at once; a lost try costs 1 s
inline constexpr milliseconds kListenTimeout = 15s;           // an earlier life may hold the address while it ends
inline constexpr milliseconds kListenRetryInterval = 50ms;    // between tries for it
inline constexpr std::size_t kMaxPathBytes = 256;             // longest path of PROTOCOL is under 230 bytes
inline constexpr milliseconds kServerRequestTimeout = 5s;     // whole request read, or answer written
inline constexpr milliseconds kServerIdleTimeout = 75s;       // longest user poll or lease is far shorter
inline constexpr milliseconds kAcceptRetryBackoff = 20ms;     // after accept() failed for want of sockets
inline constexpr int kRefusalsPerWarning = 100;      // of connections: a flood is told once, and that it goes on
inline constexpr int kConnectionReserve = 60;        // sockets kept for outgoing calls and peers
inline constexpr double kProcessMb = 20;             // held without connections: 10 idle, up to 9 more at a takeover
inline constexpr double kUserConnectionShare = 0.3;  // of the connections; 1,260 workers fit the rest of a large node
inline constexpr double kConnectionMb = 0.04;        // stack pages and buffers of one that was used; 36 KiB measured
inline constexpr int kMaxThreads = 2000;             // of a process: the operators' limit for large fleets
inline constexpr int kProcessThreads = 14;           // eleven duties, two that accept, and the first
inline constexpr int kThreadReserve = 30;            // threads of closed connections that have not ended yet
inline constexpr std::size_t kStreamBufferBytes = 4096;  // most messages fit one read

// ---- state ----
inline constexpr milliseconds kStoreConnectTimeout = 1s;          // it is one hop away; silence means a cut
inline constexpr milliseconds kStoreCallTimeout = 2s;             // answers take 10 ms, rarely a few hundred
inline constexpr milliseconds kUserRequestStoreTimeout = 1500ms;  // users wait 2 s for a poll
inline constexpr double kLeaderShare = 0.55;                      // of the state budgets; the rest is the others'
inline constexpr milliseconds kWatchHoldTimeout = 1500ms;         // each answer confirms what the leader has read
inline constexpr milliseconds kStoreRetryBackoff = 300ms;         // between tries while the state is out of reach

inline constexpr std::uint32_t kTasksPerShard = 128;            // a part's record stays under 4 KiB
inline constexpr std::size_t kRecordSpareBytes = 512;           // kept free under `value_kb` for a record's frame
inline constexpr milliseconds kRateLimiterWaitTimeout = 400ms;  // a poll waits this long for its turn, then 503
inline constexpr double kUserRequestRateReserve = 0.3;          // of a node's bucket; polls leave it to other work
inline constexpr std::size_t kMaxUserRequestStoreClients = 6;   // connections to the state for users' requests

// ---- leadership ----
inline constexpr milliseconds kLeaderLeaseTtl = 4s;            // shorter than a restart, longer than a stutter
inline constexpr milliseconds kLeaderLeaseRenewInterval = 1s;  // three renewals may fail before the lease ends
inline constexpr milliseconds kLeaderWatchHoldTimeout = 2s;    // its answer also shows that the state is in reach
inline constexpr milliseconds kLeadershipYieldTimeout =
    3s;  // for siblings that hear workers to take the lead; they watch it
inline constexpr std::size_t kMinUnreachableMachines = 3;  // fewer machines may well fall silent together
inline constexpr milliseconds kUnboundedWait = 1h;         // a wait that only a signal ends
inline constexpr milliseconds kClockRounding = 2ms;        // of two clocks that are read in whole milliseconds
inline constexpr milliseconds kFenceMargin = 2s;           // delay of answers under way, timers that fire late

// ---- peers ----
inline constexpr milliseconds kPeerProbeInterval = 1s;   // as often as a lease is renewed
inline constexpr milliseconds kPeerSilenceTimeout = 3s;  // renewals were missed; a successor may lead a second later
inline constexpr milliseconds kPeerCallTimeout = 500ms;  // siblings are one hop away
inline constexpr int kMaxPeerConnections = 64;           // a few siblings ask, and relay over `kRelayClients` each
inline constexpr std::size_t kRelayClients = 24;  // reports under way to a leader; an answer may settle for 600 ms
inline constexpr milliseconds kRelayConnectTimeout = 500ms;  // siblings are one hop away
inline constexpr milliseconds kRelayTimeout = 2500ms;    // the worker gives up after 4 s, and then tries other nodes
inline constexpr milliseconds kRelayRetryBackoff = 1s;   // a sibling that did not answer is not asked for so long
inline constexpr milliseconds kRelayReturnWindow = 30s;  // a worker that was sent to the leader and is back this soon
inline constexpr milliseconds kRelayPeriod = 60s;        // then the worker tries the leader itself; trying costs 5 s
inline constexpr milliseconds kRelayDetectionWindow =
    2s;                                           // after a time-out, until another node has passed the report on
inline constexpr std::size_t kMaxRelayed = 4096;  // machines remembered, many times a fleet

// ---- zones ----
inline constexpr milliseconds kDelegationRequestInterval =
    1s;  // a grant in hand is at most this much staler than it could be
inline constexpr milliseconds kDelegationRequestTimeout = 800ms;  // siblings are one hop away; less than an interval
inline constexpr milliseconds kLeaderContactTimeout = 2500ms;     // two words in a row were not answered
inline constexpr std::size_t kMaxDelegationMachines = 2000;       // uses told in one word: 24 bytes each, under 64 KiB
inline constexpr std::size_t kMinSilentMachinesOfZone = 3;        // fewer machines may well fall silent by themselves
inline constexpr double kZoneDoubtfulShare = 0.5;            // share of a zone's machines silent at once: not chance
inline constexpr double kZoneRecoveredShare = 0.5;           // share heard again before a zone is taken as whole
inline constexpr milliseconds kZoneSettleInterval = 5s;      // a zone that is back is trusted after this
inline constexpr milliseconds kZoneRecoveryTimeout = 30s;    // a machine not heard by then has failed by itself
inline constexpr milliseconds kMaxZoneSettleInterval = 80s;  // doubled by each loss soon after, up to this
inline constexpr milliseconds kZoneSteadyInterval = 120s;    // whole for so long, a zone's settling time is halved
inline constexpr milliseconds kZoneMachineRetention =
    60s;  // a lost zone's machines are kept for it: as long as boots take

// ---- jobs ----
inline constexpr std::size_t kMaxWriteBatchBytes =
    kMaxBodyBytes / 2;                                     // of data, before the last item: each is far smaller
inline constexpr std::size_t kMaxConditionsPerChange = 4;  // of a transaction, times the changes that it may have
inline constexpr std::size_t kMaxWriteItemConditions = 2;  // the job's record, and a part's or the final one

// ---- control ----
inline constexpr milliseconds kDisplayedCountsInterval = 2s;  // counts shown of a job in parts lag by this at most
inline constexpr milliseconds kTick = 250ms;                  // what is due within it counts as due
inline constexpr milliseconds kHousekeepingInterval = 350ms;  // expiries are noticed this late; each look costs
inline constexpr milliseconds kExpiryMargin = 500ms;          // a worker notices its expiry late by its timers
inline constexpr milliseconds kStartTimeout = 10s;            // DESIGN: a start not seen by then is replanned
inline constexpr milliseconds kGangBarrierTimeout = 10s;  // what is left of a gang holds its places for a replacement

// A gang whose machines differ in what they fetch.
inline constexpr int kGangFetchSpreadDivisor =
    2;  // fetches may differ by this part of gang_wait_s; rates are off by a third
inline constexpr int kFetchDoubtFactor =
    4;  // times its reckoned time; then a fetch is not waited for: rates are shared
inline constexpr int kFetchOverdueDivisor = 4;  // of what it took by now an overdue fetch takes a quarter more

inline constexpr milliseconds kPlanHorizon = 1h;            // bookings further away tell nothing
inline constexpr double kIdleShareOfBoot = 0.5;             // idle is kept for half as long as its next boot would cost
inline constexpr milliseconds kMinIdleBeforeScaleIn = 20s;  // cloud calls are few; machines are not turned over faster
inline constexpr milliseconds kIdleBeforeScaleInUrgent = 240s;  // of machines for a class that can't wait for a boot
inline constexpr milliseconds kDemandWindow = 240s;             // arrivals of a class are counted over this
inline constexpr milliseconds kGpuDemandWindow = 240s;          // the peak of this is left to work with GPUs
inline constexpr double kReserveDeviations = 1.3;               // deviations of a Poisson process that a reserve covers
inline constexpr double kMaxLatePriceFactor = 8;                // times the cheapest kind's price for a task, when late
inline constexpr double kMaxPatientPriceFactor = 1.5;  // the same for a deadline that leaves time for cheaper ones
inline constexpr double kMaxReservePriceFactor = 6;    // the same for machines that only stand by
inline constexpr double kBootSlackFactor = 1.5;        // boots are usually done within 1.5 `bootS`
inline constexpr double kBootLostFactor = 4.0;         // after this many `bootS` a boot counts as lost
inline constexpr milliseconds kCapacityRefusalBackoff = 20s;      // first pause after a refused rental
inline constexpr milliseconds kMaxCapacityRefusalBackoff = 120s;  // refusals double the pause up to this
inline constexpr int kMaxMachineErrors = 2;                       // errors in a row after which a machine is drained
inline constexpr milliseconds kTaskErrorBackoff = 5s;             // first pause of a job whose tasks fail
inline constexpr milliseconds kMaxTaskErrorBackoff =
    75s;  // failing jobs are tried this often for ever; none waits 90 s
// A machine that refused a start for want of room is asked again this often; no task may wait 90 s.
inline constexpr milliseconds kRefusedStartBackoff = 10s;
inline constexpr milliseconds kDirectStopRetryInterval = 1s;  // direct halts are repeated until proof
inline constexpr double kAgingPenaltyPerWork = 16;  // times the span for which a job would fill the whole fleet
inline constexpr milliseconds kAgingPenaltyPerMissedObjective =
    150s;                                                    // for each wait objective that was missed already
inline constexpr std::size_t kMaxTasksPlannedPerPass = 500;  // of one array, as the paper does
inline constexpr std::size_t kMaxPlacesPerPortion =
    2000;  // of a pass: some 0.3 ms of a core, ten or more at 2.4% of it

inline constexpr milliseconds kReplanInterval = 2s;      // pauses of jobs and supplies end without an event
inline constexpr milliseconds kMinPassInterval = 100ms;  // between passes; what came meanwhile is planned at once
// A copy of an answer may be carried out for so long after it was made: the agent's timeout, with room for drifting clocks.
inline constexpr milliseconds kAnswerCopyLifetime = kHeartbeatTimeout + 100ms;
inline constexpr milliseconds kHeartbeatSettleTimeout = 600ms;  // an answer awaits the writes that its report caused
inline constexpr milliseconds kWriteCheckInterval = 2s;         // what wants writing is signalled; a safety net
inline constexpr milliseconds kWriteBatchDelay = 15ms;          // gathers changes for one transaction
inline constexpr milliseconds kDirectStopTimeout = 3s;          // a silent worker delays only its own halts
inline constexpr std::size_t kMaxConcurrentDirectStops = 32;    // a thread each; others await their turn

// ---- aging ----
inline constexpr milliseconds kMaxBypassOfLargest =
    150s;                                               // leaves a minute and a half of four to drain machines for it
inline constexpr milliseconds kMaxBypass = 210s;        // any other job is passed for longer, but not for ever
inline constexpr milliseconds kLargestHeadStart = 90s;  // so much before other overdue work, which has no four minutes
inline constexpr milliseconds kMaxAgingPenalty = 400s;  // of a job that is not overdue: by so much it counts as later
inline constexpr double kLargestShare = 0.75;           // of the most tasks that a job of the class had
inline constexpr milliseconds kJobSizesWindow = 1h;     // sizes are remembered for one to two of it
inline constexpr std::size_t kMaxTrackedClasses = 256;  // classes whose sizes are remembered; a day has a few

// ---- backfill reservation ----
inline constexpr milliseconds kReservationAfter =
    90s;                                              // of waiting; machines drain in the minutes that are left of four
inline constexpr milliseconds kMaxReservation = 60s;  // less than others may wait beside a machine with room: 90 s
inline constexpr milliseconds kReservationBackoff = 10s;  // between two: freed machines go to whoever is first

// ---- preemption ----
inline constexpr milliseconds kMinWaitToPreempt = 10s;  // work that starts this soon displaces nothing
inline constexpr milliseconds kMinRunBeforePreemption =
    30s;  // PROTOCOL: a start that is stopped within this counts for nothing
inline constexpr milliseconds kMinRemainingToPreempt = 30s;  // what ends this soon by itself is waited for
inline constexpr milliseconds kPreemptionCooldown = 180s;    // what was displaced is left alone for this
inline constexpr milliseconds kPreemptionInterval = 20s;     // between two rounds for the same job: stops take a while
inline constexpr std::uint32_t kMaxTasksPreemptedFor = 50;   // of an array, for which room is made at once

// ---- cloud ----
inline constexpr milliseconds kCloudCallTimeout = 5s;       // rentals take a fraction of a second
inline constexpr milliseconds kCloudCheckInterval = 500ms;  // between tries while something is wanted of the cloud
inline constexpr milliseconds kCloudListInterval = 4s;      // the list lags by more than this anyway
inline constexpr double kMaxCloudListDelayFactor = 2;       // times `list_lag_s`: PROTOCOL's bound of the lag
inline constexpr milliseconds kCloudListDelayMargin = 4s;   // of the lag, as clocks drift
inline constexpr milliseconds kMachineTypesInterval = 60s;  // spot prices move slowly
inline constexpr milliseconds kCloudRetryBackoff = 2s;      // after a 503 or no answer

// ---- counters ----
inline constexpr milliseconds kPeakWindow = 60s;       // peaks are told for one to two of it
inline constexpr milliseconds kBehindThreshold = 2s;   // a pass or a queue this late is worth a warning
inline constexpr milliseconds kWarningInterval = 60s;  // of the same kind; the counters tell how often

// ---- health ----
inline constexpr milliseconds kStoreSilenceTimeout = 6s;  // without any answer, whether siblings fare better counts
inline constexpr milliseconds kPeerServedInterval =
    3s;                                             // an outage's end is noticed by every node within a call's limit
inline constexpr milliseconds kPeerStatusTtl = 5s;  // asked every second; a lost answer or two prove nothing
inline constexpr milliseconds kIsolationTimeout =
    30s;  // with no word of siblings either; its users must get away within 75 s

// ---- front ----
inline constexpr int kRetryAfterSeconds = 1;          // the least that users wait anyway
inline constexpr int kMaxConflictRetries = 4;         // tries of a cancellation against placements
inline constexpr std::size_t kMaxFinalStates = 4096;  // finished jobs whose answers a node keeps

// ---- pools ----
inline constexpr milliseconds kPoolCheckInterval = 2s;   // sightings of the fleet; a decision is at most this late
inline constexpr milliseconds kPoolObservationTtl = 5s;  // what was seen longer ago decides nothing
inline constexpr milliseconds kPoolWriteInterval = 1s;   // between writes that can wait: live work has the budget first
inline constexpr milliseconds kPoolCoalesce = 10s;       // of the same record, what changes meanwhile is written once
inline constexpr milliseconds kPoolChargeInterval = 120s;  // machine time that is in no record yet
inline constexpr std::int64_t kPoolStepMs = 10'000;        // time of day is looked at in whole steps
inline constexpr milliseconds kPoolRefusalBackoff =
    30s;  // first pause after the cloud refused, or a machine was lost early
inline constexpr milliseconds kMaxPoolRefusalBackoff = 30min;  // each further one doubles it up to this
inline constexpr milliseconds kPoolEarlyLoss = 10min;          // a machine lost sooner after its rental was no good one
inline constexpr milliseconds kPoolMachineLostTimeout =
    60s;  // of a lead; by then each machine that is there was listed
inline constexpr milliseconds kPoolCacheRecordInterval =
    30min;                                          // what an unseen machine held, in case its zone returns
inline constexpr milliseconds kPoolYields = 75s;    // a job with nothing running waits no longer for a pool's sake
inline constexpr milliseconds kWarmFirst = 1s;      // of a fetch: places are compared by whole seconds
inline constexpr milliseconds kMaxWarming = 10min;  // then a warming job runs as any other
inline constexpr std::size_t kPoolMembersPerRecord = 40;  // some 110 bytes each, under `value_kb`
inline constexpr std::uint64_t kPoolHoldsChunks = 32;     // 1,260 machines: some 40 each
inline constexpr std::size_t kMaxPoolImages = 8;          // of a machine, the most recently used, in a record
inline constexpr std::size_t kMaxPoolRefusals = 32;       // kinds of machine with a pause, of one pool
inline constexpr std::size_t kMaxPoolKey = 150;           // of a name as a key has it; whole keys have 200 bytes
inline constexpr std::uint64_t kMaxPoolPeakDays = 14;     // hourly peaks that are kept: 336 a pool, under 4 KiB
inline constexpr std::size_t kMaxAccountLines = 48;       // of a pool and a day: teams and uses, some 60 bytes each
inline constexpr std::uint64_t kAccountDays = 40;         // accounts are kept for so long: a month and what settles it

// ---- classes ----
inline constexpr milliseconds kRankStep = 15s;         // of the time of day; the four-minute promise has sixteen
inline constexpr milliseconds kRankStepBack = 2s;      // a clock set back by less does not go back over a step
inline constexpr double kWaitPromiseS = 240;           // what a class's jobs may wait, unless it says so itself
inline constexpr std::uint32_t kMaxSlackRise = 3;      // standings that a calendar deadline raises a job by
inline constexpr std::size_t kQueuePage = 100;         // lines of an answer, some 300 bytes each
inline constexpr std::size_t kQueueFrameBytes = 1024;  // of an answer, besides its lines

// ---- ledger ----
inline constexpr milliseconds kRecordCacheWatchHoldTimeout =
    1500ms;  // a node that hears nothing knows so much later that all is old
inline constexpr milliseconds kRecordCacheRetryBackoff =
    100ms;  // between two answers: changes that come together cost one
inline constexpr milliseconds kRecordCacheVerifyInterval = 300s;  // with a cold read; a fault of this is not expected
inline constexpr milliseconds kRecordCacheFailoverTimeout =
    1s;  // a new leader awaits its own term in it for so long, then reads
inline constexpr milliseconds kRecordControllerInterval = 1s;  // what is due by the time of day is looked for as often
inline constexpr milliseconds kRecordControllerRetryBackoff =
    50ms;  // between two writes: placements and submissions go first

// ---- standby ----
inline constexpr milliseconds kStandbyInterval = 1s;          // between asks; what it misses at a crash is as much old
inline constexpr milliseconds kStandbyNextPageDelay = 50ms;   // when there is more to tell than one word holds
inline constexpr milliseconds kStandbyCallTimeout = 800ms;    // siblings are one hop away; less than an interval
inline constexpr milliseconds kStandbyCheckInterval = 900ms;  // the leader looks at its own state no more often
inline constexpr milliseconds kMaxSoftStateAge = 60s;  // a picture of a fleet that is older steers nothing any more
inline constexpr milliseconds kStandbyStale = 8s;      // who holds an older one lets a sibling take the lead first
inline constexpr milliseconds kStandbyYield = 500ms;   // and for so long; a sibling's watch tells it at once
inline constexpr std::size_t kMaxStandbyMessageBytes = 40'000;    // of a word's facts; whole answers stay under 64 KiB
inline constexpr std::size_t kMaxStandbyAnswerBytes = 64 * 1024;  // as bodies everywhere
inline constexpr std::size_t kMaxStandbyMessagesPerSecond =
    20;                                                  // of a leader to all: four siblings, and two that catch up
inline constexpr std::size_t kMaxStandbyEnded = 4096;    // facts that ended; who has missed more is told all again
inline constexpr std::size_t kMaxStandbyFacts = 40'000;  // of a picture; some 150 bytes each
inline constexpr std::size_t kMaxStandbyTasks = 30'000;  // of these; the rest of a larger fleet is planned as new
inline constexpr std::size_t kMaxStandbyText = 512;      // bytes of an image's name, the longest there is
inline constexpr std::size_t kMaxStandbyList = 64;       // images of a machine, peaks, machines of a job's failures
inline constexpr milliseconds kStandbyArrivals = 20s;    // arrivals are told in twelve sums of the demand's window
inline constexpr std::uint64_t kMaxStandbyArrivals =
    100'000;                                      // jobs in one of them: a bound on what a word can ask for
inline constexpr milliseconds kStandbyLate = 3s;  // siblings are asked for a picture so soon after a takeover
inline constexpr milliseconds kStandbyUnansweredTimeout =
    15s;                                                    // a machine of a picture is waited for so long, then as new
inline constexpr milliseconds kFailoverWatchTimeout = 60s;  // then its line is logged, whether the rate is back or not
inline constexpr milliseconds kFailoverFormerLeaderTimeout = 30s;  // a leader's rate of starts is told over this
inline constexpr milliseconds kFailoverRateShare = 5s;             // starts are counted over this

// ---- catalog ----
inline constexpr std::size_t kMaxCatalogClasses = 200;         // the operators' limits
inline constexpr std::size_t kMaxCatalogCalendar = 500;        // entries
inline constexpr std::size_t kMaxCatalogPools = 100;           // each is a fleet of its own
inline constexpr std::size_t kMaxCatalogKept = 20;             // sets, the one in force included
inline constexpr std::size_t kMaxCatalogName = 64;             // characters of a name; it stands in lists and logs
inline constexpr std::size_t kMaxCatalogForeign = 200;         // bytes of a team's or an image's name
inline constexpr std::uint64_t kMaxCatalogNumber = 100'000;    // of orders, standings, machines, jobs
inline constexpr std::uint64_t kMaxCatalogTasks = 10'000'000;  // expected of one occurrence
inline constexpr std::size_t kMaxCatalogSunrises = 50;         // entries: each day of one takes 0.2 ms to reckon
inline constexpr double kMaxCatalogMinusS = 12 * 3600;         // before sunrise: beyond that it is another day's
inline constexpr double kMaxCatalogS = 366 * 86'400.0;         // seconds: no span is longer than a year
inline constexpr double kMaxCatalogAmount = 1e9;               // of CPUs, GB and money an hour: catches slips
inline constexpr double kMaxCatalogPeakDays = 60;              // days that a peak may look back
inline constexpr unsigned kMinCatalogYear = 2000;              // of dates: catches slips
inline constexpr unsigned kMaxCatalogYear = 2199;
inline constexpr std::size_t kMaxCatalogList = 64;              // entries of one list in an item
inline constexpr std::size_t kMaxCatalogItemBytes = 16 * 1024;  // of a record; four fit one transaction in any case
inline constexpr std::size_t kMaxCatalogSetBytes = 384 * 1024;  // of all items; every node holds kMaxCatalogKept sets
inline constexpr std::size_t kMaxCatalogXmlBytes = 768 * 1024;  // of a file, comments included
inline constexpr std::size_t kMaxCatalogDepth = 8;              // of a document; what is meant needs 4 levels
inline constexpr std::size_t kMaxCatalogFaults = 50;            // told at once
inline constexpr std::size_t kCatalogPartBytes = 48 * 1024;     // of a file sent in parts, below kMaxBodyBytes
inline constexpr std::size_t kMaxCatalogUploads = 2;            // files under way at a node
inline constexpr milliseconds kCatalogUploadKept = 120s;        // a file that is not complete by then is dropped
inline constexpr std::size_t kMaxCatalogPortion = 16;    // changes at once of a staged set: users' writes pass between
inline constexpr milliseconds kCatalogCallTimeout = 4s;  // of kServerRequestTimeout; a longer one is asked for again
inline constexpr milliseconds kCatalogRetryBackoff = 250ms;        // before a write that was refused
inline constexpr std::int64_t kCatalogStagedKeptMs = 10 * 60'000;  // far beyond any apply and skew; then it was left
inline constexpr milliseconds kCatalogGarbageCollectionInterval =
    5s;                                                 // after a write that failed; nothing waits for it
inline constexpr std::size_t kMaxTxnBytes = 60 * 1024;  // PROTOCOL's 64 KiB less the request's own frame

// ---- calendar ----
inline constexpr milliseconds kCalendarOpenAhead = 12h;     // before its window; longer than controllers are ever away
inline constexpr milliseconds kMaxCalendarAhead = 7 * 24h;  // whatever an entry says: bounds the records
inline constexpr milliseconds kCalendarLateOpen = 24h;      // deadlines that passed while nobody led
inline constexpr milliseconds kCalendarKeep = 3 * 24h;      // closed ones; longer than kCalendarLateOpen: never twice
inline constexpr milliseconds kCalendarRescan = 60s;        // jobs and due times are looked over again
inline constexpr milliseconds kCalendarDueTimesInterval = 1h;  // of due times from the zones' rules
inline constexpr milliseconds kCalendarCloseGrace = 5s;        // results under way through the watch come in
inline constexpr milliseconds kCalendarWriteInterval = 1s;     // leaves the write budget to placements
inline constexpr milliseconds kCalendarStepInterval = 60s;   // steps and reasons of one occurrence are written so often
inline constexpr milliseconds kCalendarSlackStep = 5min;     // ranks rise by steps of this
inline constexpr milliseconds kCalendarSlackHold = 1min;     // a step is left this far beyond its edge
inline constexpr milliseconds kCalendarSayAfter = 10min;     // what closed before is not told by a new process
inline constexpr int kMaxCalendarSteps = 24;                 // two hours of slack are as good as more
inline constexpr std::size_t kMaxCalendarEntries = 500;      // of one set
inline constexpr std::size_t kMaxCalendarChanges = 8;        // of one transaction
inline constexpr std::size_t kCalendarTxnBytes = 40 * 1024;  // of one transaction; PROTOCOL takes 64 KiB
inline constexpr std::size_t kMaxCalendarJobs = 64;          // listed in an occurrence: what fits a record of 8 KiB
inline constexpr std::size_t kCalendarJobBytes = 88;         // of a listed job
inline constexpr std::size_t kCalendarFrameBytes = 2560;     // of an occurrence without its jobs
inline constexpr std::size_t kMaxCalendarReasons = 6;        // of an occurrence
inline constexpr std::size_t kCalendarReasonBytes = 200;     // of one reason
inline constexpr std::size_t kCalendarWhyBytes = 200;        // of an operator's own words
inline constexpr std::size_t kCalendarSlugBytes = 100;       // of an entry's part of a key; longer ones are hashed
inline constexpr std::uint64_t kMaxCalendarBeyond = 1000;    // counted beyond the list; each look costs
inline constexpr milliseconds kCalendarTrackedKeep = 10min;  // what ended unlisted; takeovers are done long before
inline constexpr milliseconds kCalendarReadWait = 120s;      // for how a listed job ended, before it counts as unknown
inline constexpr std::size_t kCalendarPageBytes = 40 * 1024;  // of an answer; bodies have at most 64 KiB
inline constexpr int kMaxCalendarDays = 30;                   // that `calendar` looks ahead
inline constexpr std::size_t kCalendarJobsShown = 10;         // of each occurrence in an answer
inline constexpr std::size_t kMaxCalendarTracked = 20'000;    // ended jobs that no record lists yet

// ---- cli ----
inline constexpr milliseconds kCliConnectTimeout = 1s;  // a controller accepts at once, or is not there
inline constexpr milliseconds kCliCallTimeout = 5s;     // PROTOCOL's users wait as long
inline constexpr milliseconds kCliRetryTimeout = 60s;   // and try again for as long
inline constexpr milliseconds kCliPollInterval = 2s;    // of `status --wait`

}  // namespace foxshunt::constants
