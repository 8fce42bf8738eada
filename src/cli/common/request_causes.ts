/** Why a request ended as it did, from its line and from what was believed. */
import { RefusalReason } from "../../call/common/gateway_refusal.ts";
import type { ILogLine } from "./log_line.ts";
import { numberOf, textOf } from "./log_line.ts";

/** Time from which on an owner that was asked did not answer at all, in ms. */
const NO_OWNER_MS = 1400;
/** Time to the first event from which on a turn counts as late, in ms. */
const LATE_FIRST_EVENT_MS = 300;
/** Requests on a server from which on it counts as crowded. */
const CROWDED = 12;

export interface IEvidence {
  readonly attempts: readonly ILogLine[];
  readonly beliefs: readonly ILogLine[];
}

type Explain = (end: ILogLine, evidence: IEvidence) => string[];

const EXPLAINED: Readonly<Record<RefusalReason, Explain>> = {
  [RefusalReason.NoIdentity]: () => ["the caller sent no request id"],
  [RefusalReason.BodyTooLarge]: () => ["the body was larger than the configuration allows"],
  [RefusalReason.NoRoute]: (end, { beliefs }) => [
    `no route of configuration ${end.fields.version ?? "in force"} matches ${
      textOf(end, "target") ?? "the target"
    }`,
    ...storeCauses(beliefs),
  ],
  [RefusalReason.NoConfiguration]: (_end, { beliefs }) => [
    "the instance had no configuration yet: it had just started",
    ...storeCauses(beliefs),
  ],
  [RefusalReason.NoBackend]: (_end, { beliefs }) => [
    "no server of the service was listed, or all that are had been tried",
    ...beliefs.filter(({ event }) => event === "backend-gone" || event === "backend-lapsed").map(asSentence),
    ...storeCauses(beliefs),
  ],
  [RefusalReason.BackendsFull]: (end) => [
    `${numberOf(end, "refusals") ?? "several"} servers said that they were full; the request ran on none`,
  ],
  [RefusalReason.Overloaded]: () => [
    "the engines were crowded when the program wanted to begin: another one would have made those under way late",
  ],
  [RefusalReason.BudgetSpent]: (end, { beliefs }) => [
    `the budget of ${end.fields.budget ?? "the program"} tokens does not hold another turn of ${
      end.fields.maxTokens ?? "its"
    } at most`,
    ...uncleanCauses(beliefs),
  ],
  [RefusalReason.BudgetUnavailable]: (end, { beliefs }) => [
    (numberOf(end, "tookMs") ?? 0) >= NO_OWNER_MS
      ? "no owner of the program's slice answered"
      : "the owner could not record the grant in the store",
    ...ownerCauses(beliefs),
    ...storeCauses(beliefs),
  ],
  [RefusalReason.TurnUnknown]: (end) => [
    `the owner of turn ${
      end.fields.previousTurn ?? "that the request names"
    } has never had it, or no longer keeps it`,
  ],
  [RefusalReason.HistoryUnavailable]: (_end, { beliefs }) => [
    "the turn before could not be fetched, or this one could not be recorded, so that its end was not passed on",
    ...ownerCauses(beliefs),
    ...storeCauses(beliefs),
  ],
  [RefusalReason.DeadlineOver]: (end, evidence) => [
    end.fields.backend === undefined
      ? "the caller's time was up before any server had the request"
      : `the caller's time was up while ${end.fields.backend} had the request (${
        numberOf(end, "events") ?? 0
      } events passed on)`,
    ...lateCauses(end, evidence),
    ...ownerCauses(evidence.beliefs),
    ...storeCauses(evidence.beliefs),
  ],
  [RefusalReason.OutcomeUnknown]: (end, { attempts }) => [
    ...attempts.map((line) =>
      `${line.fields.backend ?? "a server"} failed it (${line.fields.fault ?? "no fault told"}): ${
        line.fields.error ?? ""
      }`
    ),
    `it may have run on ${
      numberOf(end, "runs") ?? 1
    } server(s) and may not be repeated further, so its outcome is unknown`,
  ],
  [RefusalReason.Crashing]:
    () => ["requests with this content have crashed three servers; no further one gets it"],
};

/** Why a request ended as it did, the likeliest first; empty for a plain success. */
export function causesOf(end: ILogLine, evidence: IEvidence): string[] {
  if (end.event === "caller-left") return leftCauses(end, evidence);
  const reason = textOf(end, "reason");
  if (reason !== undefined && reason in EXPLAINED) return EXPLAINED[reason as RefusalReason](end, evidence);
  const status = numberOf(end, "status") ?? 0;
  if (status >= 400) return [`${end.fields.backend ?? "the server"} answered ${status} itself`];
  return lateCauses(end, evidence);
}

function leftCauses(end: ILogLine, evidence: IEvidence): string[] {
  const events = numberOf(end, "events") ?? 0;
  const held = `the caller left after ${end.fields.tookMs} ms and ${events} events`;
  const { beliefs } = evidence;
  return [held, ...lateCauses(end, evidence), ...ownerCauses(beliefs), ...storeCauses(beliefs)];
}

/** Slices that were taken over from owners that did not tell what they had granted. */
function uncleanCauses(beliefs: readonly ILogLine[]): string[] {
  const unclean = beliefs.filter((line) => line.event === "slice-opened" && line.fields.isClean === false);
  if (unclean.length === 0) return [];
  return [
    `${unclean.length} slices were taken over shortly before from owners that did not tell what they had granted: what they may have granted counts as spent`,
  ];
}

function lateCauses(end: ILogLine, { attempts }: IEvidence): string[] {
  const firstEventMs = numberOf(end, "firstEventMs") ?? 0;
  const running = numberOf(end, "running") ?? 0;
  const failed = attempts.map((line) =>
    `${line.fields.backend ?? "a server"} failed it before (${line.fields.fault ?? "no fault told"})`
  );
  if (firstEventMs < LATE_FIRST_EVENT_MS && running < CROWDED) return failed;
  const cached = numberOf(end, "cachedTokens") ?? 0;
  const belief =
    `${end.fields.backend} was believed to have ${running} requests and ${cached} of the prompt's tokens`;
  if (running >= CROWDED) return [...failed, `${belief}: it was crowded`];
  return [
    ...failed,
    `${belief}; the first event came after ${firstEventMs} ms, so the belief was old or the server slow`,
  ];
}

/** Owners that were lost or changed at the time. */
function ownerCauses(beliefs: readonly ILogLine[]): string[] {
  const changes = beliefs.filter(({ event }) =>
    event === "started" || event === "stopping" || event === "slice-claimed-by-other"
  );
  if (changes.length === 0) return [];
  const instances = [...new Set(changes.map(({ instance }) => instance))];
  return [`owners changed: ${instances.join(", ")} started, stopped or lost slices`];
}

/** Instances for which the store was away, from the first loss that was not made good. */
function storeCauses(beliefs: readonly ILogLine[]): string[] {
  const lost = new Map<string, ILogLine>();
  for (const line of beliefs) {
    const key = `${line.instance}/${line.fields.topic ?? ""}`;
    if (line.event === "store-lost") lost.set(key, line);
    if (line.event === "store-regained") lost.delete(key);
  }
  if (lost.size === 0) return [];
  const [first] = lost.values();
  const instances = new Set([...lost.values()].map(({ instance }) => instance));
  return [
    `the store was away for ${[...instances].join(", ")} (${textOf(first, "error") ?? "no error told"})`,
  ];
}

function asSentence({ instance, event, fields }: ILogLine): string {
  return `${instance}: ${event} ${fields.id ?? ""}`;
}
