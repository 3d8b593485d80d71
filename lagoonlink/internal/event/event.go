// Package event defines every event that an entry VM logs. Each log line carries
// the number of its event; docs/EVENTS.md is generated from these definitions.
package event

import (
	"fmt"
	"strings"

	"github.com/sirupsen/logrus"
)

// Event is one kind of log line.
type Event struct {
	Number int
	Level  logrus.Level
	Text   string
	// Advice says what an operator should do about the event.
	Advice string
}

// Fields are the values of a log line; their keys are in Pascal case.
type Fields = logrus.Fields

// catalogue holds all events in the order of their definition.
var catalogue []Event

func define(number int, level logrus.Level, text, advice string) Event {
	e := Event{Number: number, Level: level, Text: text, Advice: advice}
	catalogue = append(catalogue, e)
	return e
}

// Events of the process's life cycle and of its queues.
var (
	Started      = define(100, logrus.InfoLevel, "the entry VM started", "None.")
	Draining     = define(101, logrus.InfoLevel, "graceful shutdown started; readiness checks fail from now on", "None.")
	Drained      = define(102, logrus.InfoLevel, "no requests are in progress; the process exits", "None.")
	DrainTimeout = define(103, logrus.ErrorLevel, "requests were still in progress when the drain time ended", "Raise Timing.Drain, or the platform's grace period, above the duration of the longest request.")
	TaskFailed   = define(104, logrus.ErrorLevel, "a background task ended with an error; the process exits", "Look at Duty and Error; the platform replaces the VM.")
	LinesDropped = define(106, logrus.WarnLevel, "log lines were dropped because they arrived faster than they could be written", "Raise the log level, or find the event that floods the log.")
	Stopped      = define(107, logrus.InfoLevel, "the process ends; Task names the background task that ended first", "None after event 101; otherwise look at Task and Error.")
	QueueFull    = define(105, logrus.WarnLevel, "a bounded queue was full; the work was refused without being run", "Add entry VMs, or raise Limits.Ring.")
)

// Events of the configuration.
var (
	ConfigurationInForce  = define(200, logrus.InfoLevel, "a configuration came into force", "None.")
	PublicationRefused    = define(201, logrus.WarnLevel, "a publication was refused", "Look at Result and Detail; the author corrects the change, bases it on the version in force and publishes again.")
	LogUnreadable         = define(202, logrus.WarnLevel, "the platform's log can't be read; the configuration in force stays", "Check the log service; configuration changes don't arrive until it recovers.")
	LogReadable           = define(203, logrus.InfoLevel, "the platform's log can be read again", "None.")
	SnapshotAppended      = define(204, logrus.InfoLevel, "a snapshot of the configuration was appended to the log", "None.")
	SnapshotFailed        = define(205, logrus.WarnLevel, "a snapshot of the configuration could not be appended; the append is retried", "Restore the log service before its retention period ends.")
	StateAdopted          = define(206, logrus.InfoLevel, "the configuration was copied from another entry VM", "None.")
	SchemaUnknown         = define(207, logrus.ErrorLevel, "a configuration record has an unknown schema; it and later records are not applied, and the configuration in force stays", "Upgrade this entry VM.")
	NoConfiguration       = define(208, logrus.WarnLevel, "no configuration is known; requests are refused without being run", "Publish a configuration, or check the log service and the other entry VMs.")
	ConfigurationUnusable = define(209, logrus.ErrorLevel, "an accepted configuration can't be decoded; the configuration in force stays", "Upgrade this entry VM.")
)

// Events of the membership of entry VMs and of the connections between them.
var (
	VMChanged        = define(300, logrus.InfoLevel, "the membership state of an entry VM changed", "Look at that VM if State is Dead and nobody stopped it.")
	ProbeRejected    = define(301, logrus.WarnLevel, "a membership datagram was rejected", "If it repeats, check that Peers.Keys has a common key on all entry VMs.")
	PeerRejected     = define(302, logrus.WarnLevel, "a connection from another entry VM was rejected", "If it repeats, check that Peers.Keys has a common key on all entry VMs.")
	VMListUnreadable = define(303, logrus.WarnLevel, "the platform's list of VMs can't be read; the last known list stays in use", "Check the platform service at Platform.VMs.")
)

// Events of requests, samples and orders to engines.
var (
	RequestFailed      = define(400, logrus.WarnLevel, "an attempt to run a request failed", "If it repeats, look at the backend server.")
	RequestSuspected   = define(401, logrus.WarnLevel, "requests are suspected of crashing a backend server", "Find the callers of these requests; refusals name the fingerprint in Error.")
	SuspicionWithdrawn = define(402, logrus.InfoLevel, "suspicions of crashing a backend server were withdrawn, because other servers were lost at the same time", "Look for a cut of an availability zone or of this VM.")
	QueuedMoved        = define(403, logrus.InfoLevel, "a configuration came into force that sends queued requests to other services; Refused counts those that no service may run any more", "None.")
	StepOpened         = define(500, logrus.InfoLevel, "a step was opened", "None.")
	StepClosed         = define(501, logrus.InfoLevel, "a step was closed", "None.")
	StepDropped        = define(502, logrus.WarnLevel, "a step was dropped because its trainer sent no pull within Timing.StepIdle", "None if the trainer continues the step on another entry VM.")
	SampleDiscarded    = define(503, logrus.DebugLevel, "generated tokens were discarded", "None.")
	ClaimWon           = define(600, logrus.InfoLevel, "this VM won a claim to send orders to engines", "None.")
	ClaimFailed        = define(601, logrus.WarnLevel, "a claim to send orders could not be appended to the log", "Check the log service; engines load no new weights until it recovers.")
	OrderSent          = define(602, logrus.InfoLevel, "an order to load weights was sent to an engine", "None.")
	OrderFailed        = define(603, logrus.WarnLevel, "an order to load weights failed; it is retried", "If it repeats, look at the engine in Server.")
	OrderClaimExpired  = define(604, logrus.WarnLevel, "an order to load weights was not sent because this VM's claim had expired", "None.")
	WeightsUnreadable  = define(605, logrus.WarnLevel, "the weight store can't be read; the last known versions stay in use", "Check the weight store.")
)

// Events of a deployment that keeps its state in the platform's store.
var (
	FeedUnreadable         = define(700, logrus.WarnLevel, "a topic of the store can't be read; the last known values stay in use", "Check the store.")
	FeedReadable           = define(701, logrus.InfoLevel, "a topic of the store can be read again", "None.")
	FeedTrimmed            = define(702, logrus.InfoLevel, "changes of a topic were trimmed before they were read; the newest values are read instead", "None.")
	RecordUnreadable       = define(703, logrus.WarnLevel, "a record can't be decoded and is skipped", "Find the program that wrote the record; Feed names its topic, Key its key or offset.")
	ServerChanged          = define(704, logrus.InfoLevel, "a backend server was added, changed or removed", "None.")
	ServerLeaving          = define(706, logrus.InfoLevel, "a backend server stated in a response that it is leaving; this incarnation of it gets no new requests from this VM", "None during planned work; otherwise find out who stops the server in Server. Request names the request whose response it was, Source the kind of call.")
	ServerEntryLate        = define(707, logrus.InfoLevel, "an entry of a backend server was ignored, because a newer one had been read; Incarnation and Sequence are the entry's", "None while the store is impaired; otherwise find out who else writes entries of the server in Server.")
	VersionPublished       = define(705, logrus.InfoLevel, "a trainer published a weight version", "None.")
	MembershipLost         = define(710, logrus.WarnLevel, "the group membership can't be renewed", "Check the store; this VM keeps its partitions until another VM owns them.")
	MembershipRenewed      = define(711, logrus.InfoLevel, "the group membership was renewed again", "None.")
	OwnershipChanged       = define(712, logrus.InfoLevel, "the partitions that this VM owns changed", "None.")
	CandidacyChanged       = define(713, logrus.InfoLevel, "this VM started to run jobs, or left them to larger VMs; see Member", "None.")
	JobAccepted            = define(720, logrus.InfoLevel, "a job was accepted", "None.")
	JobStarted             = define(721, logrus.InfoLevel, "this VM started to run a job's samples; Configuration is the version in force, 0 if none is, and then the samples wait for one", "None.")
	JobEnded               = define(722, logrus.InfoLevel, "a job that this VM ran is complete or was ended", "None.")
	SampleEnded            = define(723, logrus.InfoLevel, "a sample ended; its result is queued for the store", "None.")
	SampleAbandoned        = define(724, logrus.WarnLevel, "a sample was abandoned", "Look at Cause.")
	SampleInterrupted      = define(725, logrus.InfoLevel, "a run of a sample was interrupted; the sample continues on another backend server", "If it repeats, look at the backend server in Server.")
	JournalUnwritable      = define(726, logrus.WarnLevel, "records can't be appended to the store; they are kept and the append is retried", "Check the store.")
	JournalWritable        = define(727, logrus.InfoLevel, "records can be appended to the store again", "None.")
	JournalUnreadable      = define(728, logrus.WarnLevel, "a partition can't be read; its jobs may be out of date on this VM", "Check the store.")
	JournalReadable        = define(729, logrus.InfoLevel, "a partition can be read again", "None.")
	JournalTrimmed         = define(730, logrus.WarnLevel, "records were trimmed from the store before this VM read them", "None if this VM has just started; otherwise look at its load and at the store's retention.")
	SampleRestarted        = define(732, logrus.InfoLevel, "the text of a sample was dropped, because no server of the software version that began it serves, or none confirms what it is; the sample is generated from the start", "None during a change of the servers' software.")
	ScoreFailed            = define(731, logrus.InfoLevel, "an attempt to score a sample failed; unless GivenUp is set, it is repeated", "If it repeats, look at the server in Server, or at the scorer's route if there is none.")
	TextReadSlow           = define(733, logrus.WarnLevel, "a read of a job's data took longer than expected", "If it repeats, check the store and this VM's load; Calls is the number of calls to the store, Bytes what they returned.")
	TextReadFailed         = define(734, logrus.WarnLevel, "a read of a job's data failed; the caller is refused, or gets the results before the failure", "Check the store; Returned is the number of texts that were read.")
	TextPageCut            = define(735, logrus.InfoLevel, "a page of results ended early because its time was over; the caller reads on from there", "If it repeats, check the store and this VM's load.")
	TextReadCanceled       = define(736, logrus.InfoLevel, "a read of a job's data was canceled because the caller left or the run ended", "If it repeats, compare Took with how long the callers wait.")
	JobWaits               = define(737, logrus.InfoLevel, "a job waits until this VM has the memory to run it", "If it recurs, look for callers that submit many large jobs; Bytes is what the job needs of Capacity.")
	RequestHeldUp          = define(738, logrus.InfoLevel, "requests have waited long for a backend server; the fields are those of the oldest one, Servers counts the servers by why they can't take it", "None if Servers.Full counts nearly all of them; otherwise look at the largest count. If None is not 0, the request waits behind another one of its tenant.")
	RequestRefused         = define(740, logrus.InfoLevel, "a request was refused without being run", "Look at Reason.")
	RequestServed          = define(741, logrus.DebugLevel, "a request was answered", "None.")
	RequestIncomplete      = define(742, logrus.WarnLevel, "a request got no complete answer from a backend server", "Look at Attempts and Error.")
	StreamStarted          = define(743, logrus.InfoLevel, "a server began to answer a request with a stream", "None; Resumes names the request that began the stream, Software the version of the server's software.")
	IncarnationUnconfirmed = define(744, logrus.InfoLevel, "a stream or a text was not continued at a server, because the server did not confirm to be the incarnation that this VM knows", "None during a change of the servers' software; if it repeats, look at the server in Server and at event 700.")
	SwapAnnounced          = define(750, logrus.InfoLevel, "an order to load weights was announced and sent to an engine; see Outcome", "None.")
	SwapEnded              = define(751, logrus.InfoLevel, "an engine loaded a weight version", "None.")
	SwapFailed             = define(752, logrus.WarnLevel, "an order to load weights was not carried out; it is retried", "If it repeats, look at the engine in Server.")
	SwapYielded            = define(753, logrus.InfoLevel, "an engine refused an order because another VM sent a newer one; this VM waits", "None.")
	SwapLeadChanged        = define(754, logrus.InfoLevel, "this VM started or stopped sending orders to load weights; see Leads", "None.")
	LimitChanged           = define(770, logrus.InfoLevel, "the request rate limit of a backend server changed; Rate 0 means that it has none", "If it repeats, add servers to the service: the server is in trouble.")
	QuotaUnavailable       = define(771, logrus.WarnLevel, "requests to servers with request rate limits can't be booked; such servers get none from this VM", "Check the store.")
	QuotaAvailable         = define(772, logrus.InfoLevel, "requests to servers with request rate limits can be booked again", "None.")
	KeyRefused             = define(780, logrus.InfoLevel, "a request was refused because no tenant of the configuration holds its API key; Keys is the number of keys in its header, 1 is expected", "Compare Version with the newest configuration; the caller needs a key of a tenant that no other tenant has (event 784).")
	KeyUnverified          = define(781, logrus.WarnLevel, "a request was refused because this VM's configuration may have been replaced unseen; Age is the seconds since it was known to be the newest", "Look at events 700 and 785, and check the store.")
	JobWithheld            = define(782, logrus.InfoLevel, "a call about a job was refused: the job is unknown or belongs to another tenant, or the caller has no tenant", "Compare Tenant, the caller's, with Owner, which is empty for an unknown job; a key may have moved to another tenant.")
	TenantsDeclared        = define(783, logrus.InfoLevel, "a configuration with tenants came into force", "None.")
	KeysUnusable           = define(784, logrus.WarnLevel, "some tenants have API keys that are not accepted: a key of several tenants (Shared), or no usable key or name (Keyless)", "Give each tenant a key of its own.")
	ConfigurationOld       = define(785, logrus.WarnLevel, "the operators' topic was not read recently; unknown API keys get status 503 in place of 401", "Check the store and event 700.")
	ConfigurationCurrent   = define(786, logrus.InfoLevel, "the operators' topic is read again; unknown API keys get status 401", "None.")
	DutyHeld               = define(790, logrus.InfoLevel, "this VM obtained or lost the right to report usage and to order servers; see Held", "None; Token is the fencing token, Reason why the right was lost.")
	DutyRefused            = define(791, logrus.WarnLevel, "the platform refused a call because of its fencing token, or because no server is available; this VM claims a new token", "If it repeats with Call Usage, find the VM that sends higher tokens.")
	DutyCallFailed         = define(792, logrus.WarnLevel, "a call to the platform got no conclusive response; it is repeated", "Check the platform's interface at cloud.addr.")
	ReportFixed            = define(793, logrus.InfoLevel, "the usage report of a window was fixed", "None; Records is the number of usage records since the last report, After the time since the window's end.")
	ReportAccepted         = define(794, logrus.InfoLevel, "the platform accepted the usage report of a window", "None.")
	ReportLost             = define(795, logrus.ErrorLevel, "the usage report of a window was given up", "Look at events 790 and 792 and at those of the store before it; Fixed tells whether the report's counts were fixed.")
	UsageLate              = define(796, logrus.WarnLevel, "requests were counted too late for the report of their window", "Check the store, and the duration of plain requests.")
	UsageUnwritable        = define(797, logrus.WarnLevel, "counts of requests can't be stored; the append is retried", "Check the store; the counts are lost if it stays unavailable until the report is due.")
	ServersOrdered         = define(798, logrus.InfoLevel, "the number of servers of a service in a zone was ordered; see Outcome", "None; Samples, Took and Needed are the inputs of the decision; Outcome Unavailable means that the platform has no such server at the moment.")
	ZoneLeft               = define(830, logrus.InfoLevel, "requests of a service began to leave this availability zone, because they are complete sooner elsewhere or because no server here can take them; Unserved counts the latter", "If it lasts, add servers of the service in this zone, or look at the ones that it has: HomeSeconds and OtherSeconds are the estimated times of a request.")
	ZoneReturned           = define(831, logrus.InfoLevel, "requests of a service no longer leave this availability zone", "None.")
	ZoneShare              = define(832, logrus.InfoLevel, "requests of a service still leave this availability zone; Left of Sent did since the last line, Share may", "As for event 830.")
	LoadDistrusted         = define(833, logrus.InfoLevel, "the servers whose requests take longer than the load that they state explains changed; such servers get fewer requests", "Look at the servers in Servers; an empty list means that all figures are believed again.")
	ServersUnreachable     = define(840, logrus.WarnLevel, "this VM reaches no backend server; requests are served through other VMs that do, and refused if there is none", "If other VMs log it too, look at the servers; otherwise at this VM's network. Server is the last one that was tried, Servers the number of declared ones.")
	ServersReachable       = define(841, logrus.InfoLevel, "this VM reaches a backend server again", "None.")
	PeerAsked              = define(842, logrus.InfoLevel, "a request was sent to another VM, because this one reaches no backend server; see Outcome", "None while event 840 holds; Error is the other VM's refusal or the loss of the connection to it.")
	PeersUnknown           = define(843, logrus.WarnLevel, "the announcements of other VMs can't be read or written; the last known VMs are asked", "Check the store.")
	PeersKnown             = define(844, logrus.InfoLevel, "the announcements of other VMs can be read and written again", "None.")
	PeersUnserved          = define(846, logrus.WarnLevel, "requests of other VMs can't be taken; the VM continues without them", "Find the process that uses the port in Address.")
	JobsHandedOver         = define(845, logrus.InfoLevel, "this VM left its partitions to others or takes part in running jobs again, because it reaches no backend server or reaches them again; see Member", "None while event 840 holds.")
	MetricsUnavailable     = define(761, logrus.WarnLevel, "the metrics can't be served; the VM continues without them", "Find the process that uses the port in Address.")
	SettingsReloaded       = define(760, logrus.InfoLevel, "the settings changed, or can't be read", "Restart the VM to apply the settings named in Restart; if Error is set, correct the settings.")
)

// Events of the protection against clients that use up memory or connections. Each is logged
// at most once a second; Suppressed counts the occurrences that were not logged since.
var (
	MemoryLimits      = define(820, logrus.InfoLevel, "the limits of callers' memory and connections", "None.")
	MemoryShort       = define(821, logrus.WarnLevel, "there was no memory for a request, which was refused without being run, or for its response; Share names the room that was short", "If the callers are honest, raise limits.memory_mb or add entry VMs; otherwise look at Remote.")
	RequestOverMemory = define(822, logrus.WarnLevel, "a request was refused without being run, because it needs more memory than this VM ever has for one request", "Raise limits.memory_mb, or lower max_body_bytes.")
	RequestEvicted    = define(823, logrus.WarnLevel, "the connection of a request whose caller made no progress was closed, because memory was short", "None if the caller is hostile or gone; otherwise raise limits.memory_mb.")
	BodyStalled       = define(824, logrus.InfoLevel, "a request was abandoned, because nothing of its body arrived for the idle timeout", "Look at the caller in Remote.")
	ConnectionsFull   = define(825, logrus.WarnLevel, "a connection was closed, because there were too many; it had been without a complete request for longest, or Refused is set and all others had one", "If the callers are honest, raise limits.max_fds and limits.memory_mb or add entry VMs.")
	ResponseUnread    = define(826, logrus.InfoLevel, "a connection was closed, because its caller received nothing of its response for 10 s", "Look at the caller in Remote.")
)

// Logger writes events to a logrus logger.
type Logger struct {
	log *logrus.Logger
}

// NewLogger returns a Logger that writes to l.
func NewLogger(l *logrus.Logger) *Logger { return &Logger{log: l} }

// Write logs an event with its fields if the event's level is enabled.
func (l *Logger) Write(e Event, fields Fields) {
	if !l.log.IsLevelEnabled(e.Level) {
		return
	}
	l.log.WithFields(fields).WithField("Event", e.Number).Log(e.Level, e.Text)
}

// SetLevel sets the lowest level that is logged, by its logrus name.
func (l *Logger) SetLevel(name string) error {
	level, err := logrus.ParseLevel(name)
	if err != nil {
		return fmt.Errorf("level: got %q, expected debug, info, warning or error", name)
	}
	l.log.SetLevel(level)
	return nil
}

// Markdown returns the contents of docs/EVENTS.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nGenerated from package event; run `make docs` to update it.\n")
	b.WriteString("Every log line of an entry VM carries one of these numbers in the field `Event`.\n\n")
	b.WriteString("| Event | Level | Text | What to do |\n|---|---|---|---|\n")
	for _, e := range catalogue {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.Number, e.Level, e.Text, e.Advice)
	}
	return b.String()
}

// Catalogue returns a copy of all events in the order of their definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }
