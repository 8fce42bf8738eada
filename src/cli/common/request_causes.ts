/** Derives the causes of a request's outcome from its log line, its attempts and the instances' state changes. */
import { RefusalReason } from "../../call/common/gateway_refusal.ts";
import type { ILogLine } from "./log_line.ts";
import { numberField, stringField } from "./log_line.ts";

/** Time to the first event from which a turn counts as late, in ms. */
const LATE_FIRST_EVENT_MS = 300;
/** Number of running requests from which a server counts as heavily loaded. */
const HIGH_LOAD_REQUESTS = 12;

/** Event of a request that was not sent because its key is no longer valid. */
const DENIED_EVENT = "send-denied";

/** Log lines from which the causes are derived; the names are those of the JSON output of `explain`. */
export interface IEvidence {
  /** Failed sends, and sends to a second server while the first one was unanswered. */
  readonly attempts: readonly ILogLine[];
  /** State changes that the instances logged shortly before and during the request. */
  readonly beliefs: readonly ILogLine[];
}

/** Event of the line that reports the second send of a hedged request. */
const HEDGE_EVENT = "request-hedged";

type ExplainReason = (end: ILogLine, evidence: IEvidence) => string[];

const EXPLANATIONS: Readonly<Record<RefusalReason, ExplainReason>> = {
  [RefusalReason.NoIdentity]: () => ["the request carried no request id"],
  [RefusalReason.BodyTooLarge]: () => ["the request body exceeded the configured limit"],
  [RefusalReason.MemoryExhausted]: () => [
    "the memory for clients was used up, and the request's connection held most of it for longest; it has not run",
  ],
  [RefusalReason.NoRoute]: (end, { beliefs }) => [
    `no route of configuration ${end.fields.version ?? "in force"} matches ${
      stringField(end, "target") ?? "the target"
    }`,
    ...storeCauses(beliefs),
  ],
  [RefusalReason.Stopping]: () => [
    "the instance was stopping, and requests of the route usually take longer than was left; it has not run",
  ],
  [RefusalReason.KeyMissing]: (end, { beliefs }) => [
    `the request carried no API key, and its route is not public in configuration ${versionOf(end)}`,
    ...storeCauses(beliefs),
  ],
  [RefusalReason.KeyUnknown]: (end, { attempts, beliefs }) => {
    const denials = denialCauses(attempts);
    const unknown = `no organisation of configuration ${versionOf(end)} has a key whose digest begins with ${
      keyDigestOf(end)
    }`;
    return [...(denials.length > 0 ? denials : [unknown]), ...storeCauses(beliefs)];
  },
  [RefusalReason.OrganisationChanged]: (end) => [
    `the key with digest ${keyDigestOf(end)} was assigned to another organisation while the request waited`,
  ],
  [RefusalReason.NoConfiguration]: (_end, { beliefs }) => [
    "the instance had just started and had not read a configuration",
    ...storeCauses(beliefs),
  ],
  [RefusalReason.NoBackend]: (_end, { beliefs }) => [
    "no backend server of the service was listed, or all listed ones had been tried",
    ...beliefs.filter(({ event }) => event === "backend-gone" || event === "backend-lapsed").map(
      formatBackendEvent,
    ),
    ...storeCauses(beliefs),
  ],
  [RefusalReason.StreamUnknown]: (end) => [
    `no instance knows which software version began the stream of attempt ${
      stringField(end, "resumes") ?? "(none named)"
    }, or the route no longer leads to its service`,
  ],
  [RefusalReason.StreamNotRecorded]: () => [
    "no server of the software version of the stream's earlier tries was left, and the store did not record the change",
  ],
  [RefusalReason.BackendsFull]: (end) => [
    `${numberField(end, "refusals") ?? "several"} backend servers refused the request as full; none ran it`,
  ],
  [RefusalReason.BackendsLimited]: (end, { beliefs }) => [
    `${numberField(end, "limitedServers") ?? "all"} backend servers state limits, and none had room in time`,
    ...beliefs.filter(({ event }) => event === "backend-limit").map(formatBackendEvent),
  ],
  [RefusalReason.ServersUnreachable]: (_end, { beliefs }) => [
    "no backend server accepted connections from this instance, and no other instance forwarded the request",
    ...beliefs.filter(({ event }) => event === "servers-unreachable" || event === "forward-refused").map(
      formatBackendEvent,
    ),
  ],
  [RefusalReason.Overloaded]: () => [
    "the engines were too heavily loaded to admit a new program without delaying the running ones",
  ],
  [RefusalReason.AllotmentExhausted]: ({ fields, instance }, { beliefs }) => [
    `the allotment of ${fields.allotmentPerS ?? "an unknown number of"} requests per second, as stated by ` +
    `configuration ${fields.allotmentVersion ?? "(version not logged)"}, did not cover the request; ` +
    (fields.allotmentOwner === "" || fields.allotmentOwner === undefined
      ? `no owner of the allotment responded, so ${instance} decided alone`
      : `${fields.allotmentOwner} decided`),
    ...ownerCauses(beliefs),
  ],
  [RefusalReason.BudgetExhausted]: (end, { beliefs }) => [
    `the budget of ${
      end.fields.budget ?? "an unknown number of"
    } tokens does not cover another turn of up to ${end.fields.maxTokens ?? "an unknown number of"} tokens`,
    ...uncleanCauses(beliefs),
  ],
  [RefusalReason.BudgetUnavailable]: (end, { beliefs }) => [
    isUnserved(end, "grant")
      ? "no owner of the program's slice responded"
      : "the owner could not record the grant in the store",
    ...waitCauses(end),
    ...ownerCauses(beliefs),
    ...storeCauses(beliefs),
  ],
  [RefusalReason.TurnUnknown]: (end) => [
    `the owner never recorded turn ${
      end.fields.previousTurn ?? "(id not logged)"
    }, or its retention has expired`,
  ],
  [RefusalReason.TurnNotOwned]: (end) => [
    `turn ${end.fields.previousTurn ?? "(id not logged)"} does not belong to ${
      stringField(end, "organisation") ?? "a caller without an organisation"
    }, which the key with digest ${keyDigestOf(end)} belongs to in configuration ${versionOf(end)}`,
  ],
  [RefusalReason.HistoryUnavailable]: (end, { beliefs }) => [
    "the previous turn could not be fetched, or this one could not be recorded, so its end was not sent to the caller",
    ...waitCauses(end),
    ...ownerCauses(beliefs),
    ...storeCauses(beliefs),
  ],
  [RefusalReason.DeadlineExceeded]: (end, evidence) => [
    end.fields.backend === undefined
      ? "the caller's deadline passed before any backend server received the request"
      : `the caller's deadline passed while ${end.fields.backend} processed the request (${
        numberField(end, "events") ?? 0
      } events forwarded)`,
    ...lateCauses(end, evidence),
    ...waitCauses(end),
    ...ownerCauses(evidence.beliefs),
    ...storeCauses(evidence.beliefs),
  ],
  [RefusalReason.InvalidTarget]:
    () => ["the request's target contained characters that no request may contain"],
  [RefusalReason.InternalError]: () => [
    "the instance failed unexpectedly; its line internal-error has the error. The request may have run",
  ],
  [RefusalReason.OutcomeUnknown]: (end, { attempts }) => [
    ...denialCauses(attempts),
    ...attempts.filter(({ event }) => event !== DENIED_EVENT).map((line) =>
      `${line.fields.backend ?? "a backend server"} failed (${line.fields.fault ?? "no fault logged"}): ${
        line.fields.error ?? ""
      }`
    ),
    `the request may have run on ${
      numberField(end, "runs") ?? 1
    } backend server(s) and must not be retried, so its outcome is unknown`,
  ],
  [RefusalReason.ResponseTooLarge]: (end) => [
    `${
      end.fields.backend ?? "a backend server"
    } sent a response that exceeds maxResponseBytes, maxEventBytes or the ` +
    "response memory; its connection was closed, and the request may have run",
  ],
  [RefusalReason.CrashingRequest]: ({ fields }) => {
    if (fields.key === undefined) {
      return ["requests with this content have crashed three backend servers, so no further one receives it"];
    }
    const servers = Array.isArray(fields.keyServers) ? [...new Set(fields.keyServers)] : [];
    return [
      `requests that share its ${fields.key} have crashed ${servers.length} backend servers (${
        servers.join(", ")
      }), and none has completed since`,
    ];
  },
};

/** Returns the causes of a request's outcome, the likeliest first; empty for a success on time. */
export function causesOf(end: ILogLine, { attempts, beliefs }: IEvidence): string[] {
  const failed = attempts.filter(({ event }) => event !== HEDGE_EVENT);
  const hedges = attempts.filter(({ event }) => event === HEDGE_EVENT);
  const causes = outcomeCauses(end, { attempts: failed, beliefs });
  return [...causes, ...hedges.map((line) => formatHedge(line, end))];
}

function outcomeCauses(end: ILogLine, evidence: IEvidence): string[] {
  if (end.event === "caller-left") return disconnectCauses(end, evidence);
  const reason = stringField(end, "reason");
  if (reason !== undefined && reason in EXPLANATIONS) {
    return EXPLANATIONS[reason as RefusalReason](end, evidence);
  }
  const status = numberField(end, "status") ?? 0;
  if (status >= 400) {
    return [`${end.fields.backend ?? "the backend server"} itself responded with status ${status}`];
  }
  return [...lateCauses(end, evidence), ...waitCauses(end)];
}

/** Both sends of a hedged request, and which of them was relayed. */
function formatHedge({ fields }: ILogLine, end: ILogLine): string {
  const { backend, hedgeBackend, hedgedAfterMs } = fields;
  const sends =
    `sent to ${backend} and, after ${hedgedAfterMs} ms without an answer, also to ${hedgeBackend}`;
  const wasRelayed = end.event === "request" && end.fields.reason === undefined;
  if (!wasRelayed) return `${sends}; neither answer was relayed in full`;
  const winner = end.fields.hedgeWon === true ? hedgeBackend : backend;
  return `${sends}; the answer of ${winner} was relayed and the other send cancelled, unless it had failed before`;
}

function disconnectCauses(end: ILogLine, evidence: IEvidence): string[] {
  const events = numberField(end, "events") ?? 0;
  const disconnect = `the caller disconnected after ${end.fields.tookMs} ms and ${events} events`;
  const { beliefs } = evidence;
  const causes = [...lateCauses(end, evidence), ...waitCauses(end)];
  return [disconnect, ...causes, ...ownerCauses(beliefs), ...storeCauses(beliefs)];
}

/** Slices that were taken over from owners that did not report the budgets they had granted. */
function uncleanCauses(stateChanges: readonly ILogLine[]): string[] {
  const unclean = stateChanges.filter((line) =>
    line.event === "slice-opened" && line.fields.isClean === false
  );
  if (unclean.length === 0) return [];
  return [
    `${unclean.length} slices had recently been taken over from owners that did not report what they had granted: all that they may have granted counts as spent`,
  ];
}

function lateCauses(end: ILogLine, { attempts }: IEvidence): string[] {
  const firstEventMs = numberField(end, "firstEventMs") ?? 0;
  const running = numberField(end, "running") ?? 0;
  const failed = attempts.map((line) =>
    `an earlier attempt on ${line.fields.backend ?? "a backend server"} failed (${
      line.fields.fault ?? "no fault logged"
    })`
  );
  if (firstEventMs < LATE_FIRST_EVENT_MS && running < HIGH_LOAD_REQUESTS) return failed;
  const cached = numberField(end, "cachedTokens") ?? 0;
  const loadData =
    `the instance's load data for ${end.fields.backend} was ${running} requests and ${cached} cached prompt tokens`;
  if (running >= HIGH_LOAD_REQUESTS) return [...failed, `${loadData}: the server was heavily loaded`];
  return [
    ...failed,
    `${loadData}; the first event came after ${firstEventMs} ms, so the data was stale or the server slow`,
  ];
}

interface ILoggedWait {
  readonly step?: unknown;
  readonly isServed?: unknown;
  readonly [name: string]: unknown;
}

/** Waits for owners of slices that the request's line reports. */
function waitsOf({ fields: { ownerWaits } }: ILogLine): ILoggedWait[] {
  if (!Array.isArray(ownerWaits)) return [];
  return ownerWaits.filter((wait): wait is ILoggedWait => typeof wait === "object" && wait !== null);
}

function isUnserved(end: ILogLine, step: string): boolean {
  return waitsOf(end).some((wait) => wait.step === step && wait.isServed === false);
}

function waitCauses(end: ILogLine): string[] {
  return waitsOf(end).map(({ step, slice, owner, status, tries, waitMs, isServed, error }) => {
    const outcome = isServed === true ? "was served" : `was not served (${status})`;
    const lastError = error === undefined ? "" : `, last error: ${error}`;
    const address = owner === "" ? "no known owner" : owner;
    return `${step} waited ${waitMs} ms for slice ${slice} at ${address} and ${outcome} after ${tries} calls${lastError}`;
  });
}

/** Ownership changes around the time of the request. */
function ownerCauses(stateChanges: readonly ILogLine[]): string[] {
  const changes = stateChanges.filter(({ event }) =>
    event === "started" || event === "stopping" || event === "slice-claimed-by-other"
  );
  if (changes.length === 0) return [];
  const instances = [...new Set(changes.map(({ instance }) => instance))];
  return [`owners changed: ${instances.join(", ")} started, stopped or lost slices`];
}

/** Instances that had lost access to the store and not regained it, with the error of the first of them. */
function storeCauses(stateChanges: readonly ILogLine[]): string[] {
  const lost = new Map<string, ILogLine>();
  for (const line of stateChanges) {
    const key = `${line.instance}/${line.fields.topic ?? ""}`;
    if (line.event === "store-lost") lost.set(key, line);
    if (line.event === "store-regained") lost.delete(key);
  }
  if (lost.size === 0) return [];
  const [first] = lost.values();
  const instances = new Set([...lost.values()].map(({ instance }) => instance));
  return [
    `the store was unavailable to ${[...instances].join(", ")} (${
      stringField(first, "error") ?? "no error logged"
    })`,
  ];
}

/** Sends that did not take place because the key was withdrawn while the request waited. */
function denialCauses(attempts: readonly ILogLine[]): string[] {
  return attempts.filter(({ event }) => event === DENIED_EVENT).map((line) =>
    `the key with digest ${
      keyDigestOf(line)
    } was valid when the request arrived, and no longer in configuration ${
      versionOf(line)
    }, so it was not sent (again)`
  );
}

function versionOf({ fields }: ILogLine): string {
  return String(fields.version ?? "in force");
}

function keyDigestOf(line: ILogLine): string {
  return stringField(line, "keyDigest") ?? "(none)";
}

function formatBackendEvent({ instance, event, fields }: ILogLine): string {
  return `${instance}: ${event} ${fields.id ?? ""}`;
}
