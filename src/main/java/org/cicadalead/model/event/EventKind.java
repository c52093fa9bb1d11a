package org.cicadalead.model.event;

/**
 * Lists the kinds of events. Numbers are stable and never reused: 1xxx processes, 2xxx requests, 3xxx shared state and
 * configuration, 4xxx membership and peers, 5xxx hosts, moves and maintenance, 6xxx jobs, 7xxx planners, 8xxx jobs of
 * many tasks.
 */
public enum EventKind {
    /** An entry process started. */
    PROCESS_STARTED(1001, EventSeverity.INFORMATION, "An entry process started"),
    /** An entry process has a configuration and accepts requests. */
    PROCESS_READY(1002, EventSeverity.INFORMATION, "An entry process has a configuration and accepts requests"),
    /** An entry process started its graceful shutdown. */
    PROCESS_STOPPING(1003, EventSeverity.INFORMATION, "An entry process started its graceful shutdown"),
    /** An entry process completed its graceful shutdown. */
    PROCESS_STOPPED(1004, EventSeverity.INFORMATION, "An entry process completed its graceful shutdown"),
    /** A background task failed unexpectedly. */
    INTERNAL_FAILURE(1005, EventSeverity.ERROR, "A background task failed unexpectedly"),
    /** A step of a graceful shutdown is complete. */
    STOP_STEP_COMPLETED(1006, EventSeverity.INFORMATION, "A step of a graceful shutdown is complete"),
    /** A request was answered by an upstream. */
    REQUEST_ANSWERED(2001, EventSeverity.DETAIL, "A request was answered by an upstream"),
    /** A request was rejected and did not run. */
    REQUEST_REFUSED(2002, EventSeverity.DETAIL, "A request was rejected and did not run"),
    /** A request was sent and its outcome is unknown. */
    REQUEST_OUTCOME_UNKNOWN(2003, EventSeverity.WARNING, "A request was sent and its outcome is unknown"),
    /** A response broke off and was not passed on as complete. */
    REQUEST_ANSWER_CUT(2004, EventSeverity.WARNING, "A response broke off and was not passed on as complete"),
    /** A request is retried on another host. */
    REQUEST_RETRIED(2005, EventSeverity.DETAIL, "A request is retried on another host"),
    /** A resent request received the response of its first execution. */
    REQUEST_REPLAYED(2006, EventSeverity.DETAIL, "A resent request received the response of its first execution"),
    /** A process closed its connections while a request that it had received was open. */
    REQUEST_UNANSWERED(2007, EventSeverity.WARNING, "The process closed its connections before a request was answered"),
    /** A host failed too often and temporarily receives no requests. */
    HOST_EJECTED(2010, EventSeverity.WARNING, "A host failed too often and temporarily receives no requests"),
    /** An ejected host responded again. */
    HOST_RETURNED(2011, EventSeverity.INFORMATION, "An ejected host responded again"),
    /** A publication was accepted. */
    CONFIGURATION_ACCEPTED(3001, EventSeverity.INFORMATION, "A publication was accepted"),
    /** A command was rejected by the fold. */
    COMMAND_REJECTED(3002, EventSeverity.INFORMATION, "A command was rejected by the fold"),
    /** A record of the log could not be decoded and was skipped. */
    RECORD_UNREADABLE(3003, EventSeverity.WARNING, "A record of the log could not be decoded and was skipped"),
    /** The platform log cannot be reached. */
    PLATFORM_LOG_UNAVAILABLE(3004, EventSeverity.WARNING, "The platform log cannot be reached"),
    /** The platform log can be reached again. */
    PLATFORM_LOG_RETURNED(3005, EventSeverity.INFORMATION, "The platform log can be reached again"),
    /** A record was received from another process. */
    RECORD_RELAYED(3006, EventSeverity.DETAIL, "A record was received from another process"),
    /** Records that this process is missing have expired. */
    STATE_GAP(3007, EventSeverity.WARNING, "Records that this process is missing have expired"),
    /** The state was loaded from a checkpoint or from another process. */
    STATE_JUMPED(3008, EventSeverity.INFORMATION, "The state was loaded from a checkpoint or from another process"),
    /** A checkpoint is complete and matches this process's state. */
    CHECKPOINT_COMPLETE(3009, EventSeverity.INFORMATION, "A checkpoint is complete and matches this process's state"),
    /** A checkpoint differs from this process's state. */
    CHECKPOINT_DIFFERS(3010, EventSeverity.ERROR, "A checkpoint differs from this process's state"),
    /** A connection to another entry process was established. */
    PEER_CONNECTED(4001, EventSeverity.DETAIL, "A connection to another entry process was established"),
    /** A connection to another entry process was closed. */
    PEER_DISCONNECTED(4002, EventSeverity.DETAIL, "A connection to another entry process was closed"),
    /** A frame from another entry process violated the protocol; the connection was closed. */
    PEER_FRAME_REJECTED(
            4003,
            EventSeverity.WARNING,
            "A frame from another entry process violated the protocol; the connection was closed"),
    /** A connection was closed because the other end did not prove knowledge of a shared key. */
    PEER_AUTHENTICATION_FAILED(
            4004,
            EventSeverity.WARNING,
            "A connection was closed because the other end did not prove knowledge of a shared key"),
    /** The shared keys were reloaded and have changed. */
    KEYS_CHANGED(4005, EventSeverity.INFORMATION, "The shared keys were reloaded and have changed"),
    /** The key file cannot be used; the last valid keys remain in use. */
    KEYS_UNUSABLE(4006, EventSeverity.WARNING, "The key file cannot be used; the last valid keys remain in use"),
    /** A process stopped before its leave was recorded in the log; another process has to remove it. */
    LEAVE_NOT_RECORDED(
            4101,
            EventSeverity.WARNING,
            "A process stopped before its leave was recorded in the log; another process has to remove it"),
    /** A member that stopped without leaving is being removed. */
    MEMBER_REMOVED(4102, EventSeverity.WARNING, "A member that stopped without leaving is being removed"),
    /** A process became a member. */
    MEMBER_JOINED(4103, EventSeverity.INFORMATION, "A process became a member"),
    /** A process is no longer a member. */
    MEMBER_LEFT(4104, EventSeverity.INFORMATION, "A process is no longer a member"),
    /** A member sponsors the join of a process that cannot reach the platform log. */
    JOIN_SPONSORED(
            4105,
            EventSeverity.INFORMATION,
            "A member sponsors the join of a process that cannot reach the platform log"),
    /** The observed health of a host changed. */
    HOST_OBSERVED(5001, EventSeverity.INFORMATION, "The observed health of a host changed"),
    /** The platform announced that a host is leaving. */
    HOST_LEAVING(5002, EventSeverity.INFORMATION, "The platform announced that a host is leaving"),
    /** This process suspects a host whose failure is not yet recorded in the log. */
    HOST_SUSPECTED(
            5003,
            EventSeverity.INFORMATION,
            "This process suspects a host whose failure is not yet recorded in the log"),
    /** A host was withdrawn from its pool. */
    MOVE_STARTED(5101, EventSeverity.INFORMATION, "A host was withdrawn from its pool"),
    /** A host was assigned to its new pool. */
    MOVE_FINISHED(5102, EventSeverity.INFORMATION, "A host was assigned to its new pool"),
    /** A move no longer waits for any process, and its assignment is being appended. */
    MOVE_ASSIGNING(
            5103, EventSeverity.DETAIL, "A move no longer waits for any process, and its assignment is being appended"),
    /** A process has nothing in flight on a withdrawn host and has acknowledged. */
    MOVE_ACKNOWLEDGED(
            5104, EventSeverity.DETAIL, "A process has nothing in flight on a withdrawn host and has acknowledged"),
    /** A move was cancelled; the host stays in its pool. */
    MOVE_CANCELLED(5105, EventSeverity.INFORMATION, "A move was cancelled; the host stays in its pool"),
    /** A maintenance wave started. */
    WAVE_STARTED(5201, EventSeverity.INFORMATION, "A maintenance wave started"),
    /** The phase of a maintenance wave changed. */
    WAVE_CHANGED(5202, EventSeverity.INFORMATION, "The phase of a maintenance wave changed"),
    /** A host was granted to a maintenance wave. */
    MAINTENANCE_GRANTED(5203, EventSeverity.INFORMATION, "A host was granted to a maintenance wave"),
    /** This process has nothing in flight on granted hosts. */
    DRAIN_CONFIRMED(5204, EventSeverity.INFORMATION, "This process has nothing in flight on granted hosts"),
    /** A host under maintenance reached a step. */
    MAINTENANCE_STEP(5205, EventSeverity.INFORMATION, "A host under maintenance reached a step"),
    /** A host did not come back from maintenance. */
    MAINTENANCE_FAILED(5206, EventSeverity.WARNING, "A host did not come back from maintenance"),
    /** The next host of a maintenance wave has to wait. */
    MAINTENANCE_WITHHELD(5207, EventSeverity.INFORMATION, "The next host of a maintenance wave has to wait"),
    /** A job was accepted in the log. */
    JOB_ACCEPTED(6001, EventSeverity.INFORMATION, "A job was accepted in the log"),
    /** A job was rejected and did not run. */
    JOB_REFUSED(6002, EventSeverity.INFORMATION, "A job was rejected and did not run"),
    /** A job was placed on a host under a new epoch. */
    JOB_PLACED(6003, EventSeverity.INFORMATION, "A job was placed on a host under a new epoch"),
    /** A job's task runs. */
    JOB_STARTED(6004, EventSeverity.DETAIL, "A job's task runs"),
    /** A job's task is to be stopped. */
    JOB_STOP_REQUESTED(6005, EventSeverity.INFORMATION, "A job's task is to be stopped"),
    /** A job is waiting for a host again. */
    JOB_RETURNED(6006, EventSeverity.INFORMATION, "A job is waiting for a host again"),
    /** A job finished. */
    JOB_FINISHED(6007, EventSeverity.INFORMATION, "A job finished"),
    /** A job failed and will not be retried. */
    JOB_FAILED(6008, EventSeverity.WARNING, "A job failed and will not be retried"),
    /** A job was cancelled and none of its tasks is running. */
    JOB_CANCELLED(6009, EventSeverity.INFORMATION, "A job was cancelled and none of its tasks is running"),
    /** A job's task wrote a checkpoint or changed its speed. */
    JOB_PROGRESSED(6010, EventSeverity.DETAIL, "A job's task wrote a checkpoint or changed its speed"),
    /** A host is excluded from jobs because all tasks fail on it. */
    JOB_HOST_BARRED(6011, EventSeverity.WARNING, "A host is excluded from jobs because all tasks fail on it"),
    /** A host that was excluded because all tasks failed on it can receive jobs again. */
    JOB_HOST_RETURNED(
            6012,
            EventSeverity.INFORMATION,
            "A host that was excluded because all tasks failed on it can receive jobs again"),
    /** A task of an earlier epoch is being stopped. */
    ORPHAN_TASK_STOPPED(6013, EventSeverity.WARNING, "A task of an earlier epoch is being stopped"),
    /** The platform's tasks cannot be reached. */
    TASK_PLATFORM_UNAVAILABLE(6014, EventSeverity.WARNING, "The platform's tasks cannot be reached"),
    /** The platform's tasks can be reached again. */
    TASK_PLATFORM_RETURNED(6015, EventSeverity.INFORMATION, "The platform's tasks can be reached again"),
    /** A host was chosen to replace one that a pool is missing. */
    REPLACEMENT_PLANNED(7001, EventSeverity.INFORMATION, "A host was chosen to replace one that a pool is missing"),
    /** A host is lent to a pool whose demand lasts longer than a move takes. */
    LOAN_PLANNED(
            7002, EventSeverity.INFORMATION, "A host is lent to a pool whose demand lasts longer than a move takes"),
    /** A host was chosen to return to the spare pool. */
    RESERVE_REFILL_PLANNED(7003, EventSeverity.INFORMATION, "A host was chosen to return to the spare pool"),
    /** A pool has fewer hosts than its services were promised, and no other host can be moved to it. */
    PROMISE_SHORT(
            7004,
            EventSeverity.WARNING,
            "A pool has fewer hosts than its services were promised, and no other host can be moved to it"),
    /** This process became the leader. */
    TERM_STARTED(8001, EventSeverity.INFORMATION, "This process became the leader"),
    /** This process is no longer the leader. */
    TERM_ENDED(8002, EventSeverity.WARNING, "This process is no longer the leader"),
    /** Another process became the leader. */
    TERM_OBSERVED(8003, EventSeverity.INFORMATION, "Another process became the leader"),
    /** A dependency stopped responding. */
    DEPENDENCY_LOST(8004, EventSeverity.WARNING, "A dependency stopped responding"),
    /** A dependency responds again. */
    DEPENDENCY_REGAINED(8005, EventSeverity.INFORMATION, "A dependency responds again"),
    /** This process applied a version of the operator's configuration. */
    PLAN_APPLIED(8006, EventSeverity.INFORMATION, "This process applied a version of the operator's configuration"),
    /** The leader has read jobs, progress and hosts, and starts to give orders. */
    TERM_LOADED(
            8007, EventSeverity.INFORMATION, "The leader has read jobs, progress and hosts, and starts to give orders"),
    /** A service waits for hosts that may still have runs of an earlier leader. */
    SERVICE_CLOSED(
            8008, EventSeverity.WARNING, "A service waits for hosts that may still have runs of an earlier leader"),
    /** A service no longer waits for hosts that may have runs of an earlier leader. */
    SERVICE_OPENED(
            8009,
            EventSeverity.INFORMATION,
            "A service no longer waits for hosts that may have runs of an earlier leader"),
    /** A job was accepted and is stored. */
    JOB_STORED(8010, EventSeverity.INFORMATION, "A job was accepted and is stored"),
    /** A job was rejected and will not run. */
    JOB_NOT_STORED(8011, EventSeverity.WARNING, "A job was rejected and will not run"),
    /** A job may have been stored; its caller got no confirmation. */
    JOB_UNCERTAIN(8012, EventSeverity.WARNING, "A job may have been stored; its caller got no confirmation"),
    /** The leader read a job from the store. */
    JOB_LEARNED(8013, EventSeverity.INFORMATION, "The leader read a job from the store"),
    /** A job has ended and the end is stored. */
    JOB_ENDED(8014, EventSeverity.INFORMATION, "A job has ended and the end is stored"),
    /** A cancellation is stored. */
    JOB_CANCEL_STORED(8015, EventSeverity.INFORMATION, "A cancellation is stored"),
    /** A caller asked for the state of a job. */
    JOB_ASKED(8016, EventSeverity.DETAIL, "A caller asked for the state of a job"),
    /** A new term has not loaded its data yet. */
    TERM_LOADING(8017, EventSeverity.WARNING, "A new term has not read its data yet and gives no orders"),
    /** A stored job cannot be applied. */
    JOB_SET_ASIDE(8018, EventSeverity.ERROR, "A stored job cannot be applied and does not run; the others go on"),
    /** A further record of a job was read. */
    JOB_RECORD_REPEATED(
            8019,
            EventSeverity.INFORMATION,
            "The leader read a further record of a job, by which the job does not run"),
    /** A run was ordered on a host. */
    RUN_ORDERED(8020, EventSeverity.INFORMATION, "A run was ordered on a host"),
    /** A host did not confirm an order to start a run. */
    RUN_REFUSED(8021, EventSeverity.WARNING, "A host did not confirm an order to start a run"),
    /** A host listed the end of a run. */
    RUN_ENDED(8022, EventSeverity.INFORMATION, "A host listed the end of a run"),
    /** A host was told to stop a run. */
    RUN_STOP_ORDERED(8023, EventSeverity.INFORMATION, "A host was told to stop a run"),
    /** A host was told to change the speed of a run. */
    RUN_PACED(8024, EventSeverity.INFORMATION, "A host was told to change the speed of a run"),
    /** A host is unreachable. */
    HOST_SILENT(8025, EventSeverity.WARNING, "A host is unreachable"),
    /** A host responds again, or for the first time. */
    HOST_ANSWERING(8026, EventSeverity.INFORMATION, "A host responds again, or for the first time"),
    /** The external policy was asked which hosts may run a step. */
    ADVICE_TAKEN(8027, EventSeverity.INFORMATION, "The external policy was asked which hosts may run a step"),
    /** A lasting task does not run, and why. */
    TASK_WAITS(8028, EventSeverity.WARNING, "A task that is to last does not run, or may not, and why"),
    /** A lasting task that did not run for some time runs again. */
    TASK_RUNS_AGAIN(8029, EventSeverity.INFORMATION, "A task that is to last and did not run, runs again"),
    /** A machine was ordered to change. */
    MACHINE_ORDERED(8030, EventSeverity.INFORMATION, "A machine was ordered to change"),
    /** All machines of a maintenance wave have started their maintenance. */
    WAVE_COMPLETED(
            8031, EventSeverity.INFORMATION, "All machines of a maintenance wave have started their maintenance"),
    /** More lasting tasks wait than one second's lines tell of. */
    TASKS_LEFT_OUT(8032, EventSeverity.WARNING, "Lasting tasks wait or run again that no line tells of yet"),
    /** A run counts as ended without a listed end. */
    RUN_LOST(8033, EventSeverity.WARNING, "A run counts as ended although its host has not listed its end"),
    /** A task was given up because hosts crashed under it. */
    TASK_GIVEN_UP(8034, EventSeverity.WARNING, "A task was given up, as hosts crashed under it; its job has failed"),
    /** Another process replies for a host. */
    HOST_RESTARTED(8035, EventSeverity.WARNING, "Another process replies for a host than before"),
    /** The registry has the entry of another process of a host. */
    HOST_ENTRY_REPLACED(8036, EventSeverity.INFORMATION, "The registry has the entry of another process of a host"),
    /** The settings were reloaded. */
    SETTINGS_READ_AGAIN(8040, EventSeverity.INFORMATION, "The settings were reloaded"),
    /** A request was rejected because of its key, its account's limit or an outdated configuration. */
    ACCOUNT_REQUEST_REJECTED(
            8041, EventSeverity.WARNING, "A request was rejected by its key, its account or an outdated configuration"),
    /** The store stopped or resumed giving the configuration to this process; until then it asks its peers. */
    CONFIGURATION_UNCONFIRMED(
            8042, EventSeverity.WARNING, "Reads of the configuration stopped, so that peers are asked, or resumed"),
    /** A newer configuration was learned from a peer. */
    CONFIGURATION_FROM_PEER(8043, EventSeverity.WARNING, "A newer configuration was learned from a peer"),
    /** Tasks of a client account wait because the account has reached its limit. */
    ACCOUNT_AT_LIMIT(8047, EventSeverity.WARNING, "Tasks of a client account wait, as it has reached its limit"),
    /** No task of a client account has waited for its limit for some time. */
    ACCOUNT_BELOW_LIMIT(8048, EventSeverity.INFORMATION, "No task of a client account waits for its limit any more"),
    /** A caller asked for the number of waiting jobs of a queue. */
    QUEUE_ASKED(8049, EventSeverity.DETAIL, "A caller asked for the number of waiting jobs of a queue"),
    /** Reading a topic of the store, or handling what was read, failed unexpectedly. */
    TOPIC_READER_FAILED(8050, EventSeverity.ERROR, "A reader of a topic of the store failed unexpectedly");

    private final int number;
    private final EventSeverity severity;
    private final String summary;

    EventKind(int number, EventSeverity severity, String summary) {
        this.number = number;
        this.severity = severity;
        this.summary = summary;
    }

    /** Returns the number, which never changes. */
    public int number() {
        return number;
    }

    /** Returns the severity. */
    public EventSeverity severity() {
        return severity;
    }

    /** Returns a sentence that describes the event to operators. */
    public String summary() {
        return summary;
    }
}
