/** Limit on the hedged requests of all instances together, as kept by the owner of each service. */

/** Hedged requests to a service that can be sent at once: those that wait for one server that pauses. */
const MAX_TOKENS = 5;
/** Number of instances whose counts are remembered for a service. */
const MAX_ASKERS = 4096;

/** The question of one instance for one hedged request. */
export interface IHedgeQuestion {
  readonly service: string;
  /** Peer address of the instance that asks. */
  readonly asker: string;
  /** Start of that instance, in ms of its clock; its counts begin then. */
  readonly startedAtMs: number;
  /** Number of its sends to the service of requests that may be hedged. */
  readonly sends: number;
  /** `sends` of its last question that was answered. */
  readonly answeredSends: number;
  /** Number of granted hedged requests that it has not sent. */
  readonly returned: number;
  /** Time since which the service is owned here, in ms; another time is another ownership. */
  readonly ownedSinceMs: number;
}

interface IAskerCount {
  readonly startedAtMs: number;
  readonly sends: number;
}

interface IServiceTokens {
  readonly ownedSinceMs: number;
  tokens: number;
  /** Counts that have earned tokens by the address of the asker, least recent first. */
  readonly counts: Map<string, IAskerCount>;
}

/** Keeps a token bucket for each service. It starts empty and again with each ownership, and only sends fill it. */
export class HedgeLimiter {
  readonly #maxExtraSends: number;
  readonly #services = new Map<string, IServiceTokens>();

  /** `maxExtraSends` is the share of a token that each send earns. */
  constructor(maxExtraSends: number) {
    this.#maxExtraSends = maxExtraSends;
  }

  /** Takes a token for one hedged request; returns false if the limit is used up. */
  acquire(question: IHedgeQuestion): boolean {
    const { startedAtMs, sends, answeredSends } = question;
    // What is no number would stay in the sums of the service.
    if (![startedAtMs, sends, answeredSends].every((value) => Number.isFinite(value) && value >= 0)) {
      return false;
    }
    const state = this.#stateOf(question);
    const earned = takeNewSends(state.counts, question) * this.#maxExtraSends;
    state.tokens = Math.min(MAX_TOKENS, state.tokens + earned + question.returned);
    if (state.tokens < 1) return false;
    state.tokens -= 1;
    return true;
  }

  #stateOf({ service, ownedSinceMs }: IHedgeQuestion): IServiceTokens {
    const known = this.#services.get(service);
    if (known?.ownedSinceMs === ownedSinceMs) return known;
    const state = { ownedSinceMs, tokens: 0, counts: new Map<string, IAskerCount>() };
    this.#services.set(service, state);
    return state;
  }
}

/** Returns the number of sends that have earned nothing yet: a question whose answer was lost is asked again. */
function takeNewSends(counts: Map<string, IAskerCount>, question: IHedgeQuestion): number {
  const { asker, startedAtMs, sends, answeredSends } = question;
  const known = counts.get(asker);
  // A message that was delayed past a restart of its sender.
  if (known !== undefined && known.startedAtMs > startedAtMs) return 0;
  const countedSends = known?.startedAtMs === startedAtMs ? known.sends : 0;
  counts.delete(asker);
  counts.set(asker, { startedAtMs, sends: Math.max(sends, countedSends) });
  if (counts.size > MAX_ASKERS) counts.delete(counts.keys().next().value!);
  return Math.max(0, sends - Math.max(answeredSends, countedSends));
}
