/** Client of the owners of budgets and kept turns, which may be this instance or a peer. */
import { create } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import { Clock, Effect } from "effect";
import type { KeptTurn, TurnRef, TurnService } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  BeginTurnRequestSchema,
  EndTurnRequestSchema,
  KeptTurnSchema,
  PromptHomeSchema,
  TurnRefSchema,
  TurnVerdict,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { mayContinue } from "../../services/organisations/common/organisation_scope.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { Metrics } from "../../services/metrics/common/metrics.ts";
import { KeptTurnMap } from "./kept_turn_map.ts";
import type { IPromptHome } from "./prompt_home_cache.ts";
import type {
  IBeginTurnResult,
  IEndTurnResult,
  ILoadTurnResult,
  ISliceResult,
  IStoreTurnResult,
  OwnedSlices,
} from "./owned_slices.ts";
import type { OwnerWaits } from "./owner_waits.ts";
import { OwnerStatus, OwnerStep, toOwnerStatus } from "./owner_waits.ts";
import type { SliceGroup } from "./slice_group.ts";
import type { ITurnGrantRequest } from "./spending_ledger.ts";

/** Time limit for calls that may wait for an append: recording a grant can take up to a second. */
const APPEND_CALL_TIMEOUT_MS = 1300;
/** Share of the time left that a call for a grant may take, so that another connection or owner can be tried. */
const GRANT_CALL_SHARE = 0.5;
/** Time limit for calls that need no append; the connection or the owner is presumed lost when exceeded. */
export const FAST_CALL_TIMEOUT_MS = 350;
/** Factor by which that limit grows with each call of a request that exceeds it. */
const SLOW_OWNER_FACTOR = 2;
/** Delay before the owner is looked up again and the call is retried. */
const RETRY_DELAY_MS = 60;
/** Time limit for reporting the end of a turn to its owner: longer than the reassignment of a slice takes. */
const END_REPORT_TIMEOUT_MS = 15_000;
/** Maximum number of references; a longer chain is stored in full, which bounds a later turn's lookups. */
const MAX_ANCESTORS = 16;

type TurnServiceClient = Client<typeof TurnService>;

/** A request to the owner of a slice. */
interface IOwnerQuestion<R extends ISliceResult> {
  readonly step: OwnerStep;
  /** Id of the program or turn that the slice belongs to. */
  readonly id: string;
  /** Share of the time left that a call may take; undefined if the owner responds without an append. */
  readonly appendShare: number | undefined;
  readonly here: () => Effect.Effect<R>;
  readonly there: (client: TurnServiceClient, signal: AbortSignal) => Promise<R>;
  /** Whether the receiver has served the request; another one is called otherwise. */
  readonly isServed: (response: R) => boolean;
}

interface IOwnerReply<R> {
  readonly status: OwnerStatus;
  /** Set with {@link OwnerStatus.Open}. */
  readonly response?: R;
  readonly error?: string;
}

/** Dependencies and address of a {@link TurnClient}. */
export interface ITurnClientOptions {
  readonly owned: OwnedSlices;
  readonly group: SliceGroup;
  readonly peers: PeerRpcClients<typeof TurnService>;
  readonly logger: ILogger;
  readonly metrics?: Metrics;
  /** Address at which peers reach this instance. */
  readonly address: string;
}

/** The turns that a turn continues. */
export interface ITurnChain {
  /** Contents of the preceding turns, oldest first. */
  readonly contents: readonly Uint8Array[];
  readonly refs: readonly TurnRef[];
  /** The turns whose program and tokens are stored: they have ended, whatever the budgets' records say. */
  readonly ended: readonly IEndedTurn[];
}

/** Outcome of a chain lookup. */
export enum ChainLookupStatus {
  Found = "found",
  /** A turn of the chain is unknown to its owner. */
  Unknown = "unknown",
  /** A turn of the chain belongs to another organisation. */
  NotOwned = "not-owned",
  /** No owner responded in time. */
  Unavailable = "unavailable",
}

type ChainLookupFailure = Exclude<ChainLookupStatus, ChainLookupStatus.Found>;

/** Result of a chain lookup. */
export type ChainLookupResult =
  | { readonly state: ChainLookupStatus.Found; readonly chain: ITurnChain }
  | { readonly state: ChainLookupFailure };

/** A turn whose response is complete. */
export interface ICompletedTurn {
  readonly programId: string;
  readonly turnId: string;
  /** Tokens delivered to the caller. */
  readonly tokens: number;
  readonly chain: ITurnChain;
  /** Input and output of the turn itself. */
  readonly content: Uint8Array;
  readonly retainMs: number;
  /** Name of the organisation that the turn belongs to, as in {@link KeptTurn}. */
  readonly organisation?: string | undefined;
}

/** Limits and records the waiting for owners. */
export interface IOwnerCallOptions {
  /** Time limit, in ms; no call to an owner continues beyond it. */
  readonly timeoutMs: number;
  /** Records what the request waited for. */
  readonly waits?: OwnerWaits;
}

/** Who looks up a turn, and for how long. */
export interface ILoadTurnOptions extends IOwnerCallOptions {
  /** Name of the caller's organisation, as in {@link KeptTurn}. */
  readonly organisation?: string | undefined;
}

/** Access to budgets and kept turns, whichever instance owns them. */
export interface ITurnClient {
  /** Requests to begin a turn; undefined when no owner responded in time. */
  begin(request: ITurnRequest, opts: IOwnerCallOptions): Effect.Effect<IBeginTurnResult | undefined>;
  /** Reports to the owner the tokens that a turn has delivered. */
  end(turn: IEndedTurn): Effect.Effect<void>;
  /** Loads the chain that ends with a turn, all of which must belong to the caller's organisation. */
  load(turnId: string, opts: ILoadTurnOptions): Effect.Effect<ChainLookupResult>;
  /** Stores a completed turn; true once it is in the log. */
  store(completed: ICompletedTurn, opts: IOwnerCallOptions): Effect.Effect<boolean>;
}

/** A turn that has ended, with any outcome. */
export interface IEndedTurn {
  readonly programId: string;
  readonly turnId: string;
  /** Tokens delivered to the caller. */
  readonly tokens: number;
  /** Engine that processed the prompt; undefined when none did. */
  readonly home: IPromptHome | undefined;
}

/** A request to begin a turn. */
export interface ITurnRequest extends ITurnGrantRequest {
  /** Ids of the prompt's parts, in order. */
  readonly partIds: readonly string[];
}

/** Sends each request to the owner of its slice; retries when the owner has changed or does not respond. */
export class TurnClient implements ITurnClient {
  readonly #opts: ITurnClientOptions;
  /** Cache of turns that passed through this instance; a turn's content never changes. */
  readonly #recent = new KeptTurnMap();

  constructor(opts: ITurnClientOptions) {
    this.#opts = opts;
  }

  begin(request: ITurnRequest, opts: IOwnerCallOptions): Effect.Effect<IBeginTurnResult | undefined> {
    const req = create(BeginTurnRequestSchema, { ...request, partIds: [...request.partIds] });
    return this.#askOwner({
      step: OwnerStep.Grant,
      id: req.programId,
      appendShare: GRANT_CALL_SHARE,
      here: () => this.#opts.owned.begin(req),
      there: (client, signal): Promise<IBeginTurnResult> => client.beginTurn(req, { signal }),
      isServed: ({ verdict }) => verdict !== TurnVerdict.NOT_OWNER,
    }, opts);
  }

  end(turn: IEndedTurn): Effect.Effect<void> {
    const home = turn.home === undefined ? undefined : create(PromptHomeSchema, turn.home);
    const req = create(EndTurnRequestSchema, { ...turn, home });
    const response = this.#askOwner({
      step: OwnerStep.End,
      id: req.programId,
      appendShare: undefined,
      here: () => this.#opts.owned.end(req),
      there: (client, signal): Promise<IEndTurnResult> => client.endTurn(req, { signal }),
      isServed: ({ isOwner }) => isOwner,
    }, { timeoutMs: END_REPORT_TIMEOUT_MS });
    return Effect.map(response, (res) => {
      if (res === undefined) this.#opts.logger.warn("turn-end-unreported", turn);
    });
  }

  load(turnId: string, opts: ILoadTurnOptions): Effect.Effect<ChainLookupResult> {
    return Effect.gen({ self: this }, function* () {
      const startedAtMs = yield* Clock.currentTimeMillis;
      const result = yield* this.#loadChain(turnId, opts);
      const tookMs = (yield* Clock.currentTimeMillis) - startedAtMs;
      this.#opts.metrics?.recordDuration("chain_load", tookMs, { outcome: result.state });
      return result;
    });
  }

  #loadChain(turnId: string, opts: ILoadTurnOptions): Effect.Effect<ChainLookupResult> {
    return Effect.gen({ self: this }, function* () {
      const deadlineMs = (yield* Clock.currentTimeMillis) + opts.timeoutMs;
      const last = yield* this.#loadTurn(turnId, opts);
      if (!(last instanceof Object)) return { state: last };
      const timeoutMs = deadlineMs - (yield* Clock.currentTimeMillis);
      const load = (ref: TurnRef) =>
        Effect.filterOrFail(
          this.#loadTurn(ref.turnId, { ...opts, timeoutMs }),
          (turn) => turn instanceof Object,
          (failure) => ({ state: failure as ChainLookupFailure }),
        );
      const ancestors = yield* Effect.forEach(last.ancestors, load, { concurrency: "unbounded" });
      const turns: KeptTurn[] = [...ancestors, last];
      const contents = turns.map(({ content }) => content);
      const refs = turns.map((turn) =>
        create(TurnRefSchema, { turnId: turn.turnId, storedAtMs: turn.storedAtMs })
      );
      const ended = turns.filter(({ programId }) => programId !== "").map((turn) => {
        return { programId: turn.programId, turnId: turn.turnId, tokens: turn.tokens, home: undefined };
      });
      return { state: ChainLookupStatus.Found as const, chain: { contents, refs, ended } };
    }).pipe(Effect.catch((failure) => Effect.succeed(failure)));
  }

  store(completed: ICompletedTurn, opts: IOwnerCallOptions): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const turn = toKeptTurn(completed, now);
      const stored = yield* this.#askOwner({
        step: OwnerStep.Store,
        id: turn.turnId,
        appendShare: 1,
        here: () => this.#opts.owned.store(turn),
        there: (client, signal): Promise<IStoreTurnResult> => client.storeTurn({ turn }, { signal }),
        isServed: ({ isStored }) => isStored,
      }, opts);
      if (stored === undefined) return false;
      this.#recent.evictExpired(now);
      this.#recent.put(turn);
      return true;
    });
  }

  #loadTurn(turnId: string, opts: ILoadTurnOptions): Effect.Effect<KeptTurn | ChainLookupFailure> {
    return Effect.gen({ self: this }, function* () {
      const { organisation } = opts;
      const recent = this.#recent.find(turnId, organisation);
      if (recent !== undefined && mayContinue(recent.organisation, organisation)) return recent;
      const found = yield* this.#askOwner({
        step: OwnerStep.History,
        id: turnId,
        appendShare: undefined,
        here: () => this.#opts.owned.load(turnId, organisation),
        there: (client, signal): Promise<ILoadTurnResult> =>
          client.loadTurn({ turnId, organisation }, { signal }),
        isServed: ({ isOwner }) => isOwner,
      }, opts);
      if (found === undefined) return ChainLookupStatus.Unavailable;
      if (found.turn === undefined) return ChainLookupStatus.Unknown;
      if (!mayContinue(found.turn.organisation, organisation)) return ChainLookupStatus.NotOwned;
      this.#recent.put(found.turn);
      return found.turn;
    });
  }

  /** Calls the owner of an id's slice, as often as there is time for; undefined when no owner serves the request in time. */
  #askOwner<R extends ISliceResult>(
    question: IOwnerQuestion<R>,
    { timeoutMs, waits }: IOwnerCallOptions,
  ): Effect.Effect<R | undefined> {
    return Effect.gen({ self: this }, function* () {
      const { group, owned } = this.#opts;
      const slice = owned.sliceOf(question.id);
      const startedAtMs = yield* Clock.currentTimeMillis;
      const deadlineMs = startedAtMs + timeoutMs;
      const wait = { step: question.step, slice, owner: "", status: OwnerStatus.Unresponsive, tries: 0 };
      let error: string | undefined;
      const record = (now: number) => {
        const waitMs = Math.round(now - startedAtMs);
        const isServed = wait.status === OwnerStatus.Open;
        waits?.record({ ...wait, waitMs, isServed, error });
        const { step, status } = wait;
        this.#opts.metrics?.recordDuration("owner_wait", waitMs, { step, status });
      };
      const askRepeatedly = Effect.gen({ self: this }, function* () {
        let leftMs = timeoutMs;
        let fastLimitMs = FAST_CALL_TIMEOUT_MS;
        while (true) {
          wait.owner = group.ownerOf(slice);
          wait.tries += 1;
          const askedAtMs = yield* Clock.currentTimeMillis;
          const asking = this.#askOnce(question, { owner: wait.owner, leftMs, fastLimitMs });
          const reply = yield* Effect.raceFirst(asking, this.#awaitOtherOwner(slice, wait.owner));
          wait.status = reply.status;
          error = reply.error ?? error;
          const now = yield* Clock.currentTimeMillis;
          // An owner that is only slow would otherwise do work for calls that are all given up before it responds.
          if (group.ownerOf(slice) !== wait.owner) fastLimitMs = FAST_CALL_TIMEOUT_MS;
          else if (now - askedAtMs >= fastLimitMs) {
            fastLimitMs = Math.min(APPEND_CALL_TIMEOUT_MS, fastLimitMs * SLOW_OWNER_FACTOR);
          }
          if (reply.status === OwnerStatus.Open || now + RETRY_DELAY_MS >= deadlineMs) {
            record(now);
            return reply.response;
          }
          yield* Effect.sleep(RETRY_DELAY_MS);
          // An owner that is opening the slice is the right one.
          if (reply.status !== OwnerStatus.Opening) {
            yield* Effect.timeoutOption(group.refresh(), deadlineMs - now - RETRY_DELAY_MS);
          }
          leftMs = deadlineMs - (yield* Clock.currentTimeMillis);
          if (leftMs <= 0) {
            record(deadlineMs);
            return undefined;
          }
        }
      });
      return yield* Effect.onInterrupt(askRepeatedly, () => Effect.map(Clock.currentTimeMillis, record));
    });
  }

  /** Waits until another instance is known as the owner, as the one that is being called may be lost. */
  #awaitOtherOwner(slice: number, owner: string): Effect.Effect<IOwnerReply<never>> {
    return Effect.gen({ self: this }, function* () {
      const { group, address } = this.#opts;
      if (owner === "" || owner === address) return yield* Effect.never;
      do {
        yield* Effect.sleep(FAST_CALL_TIMEOUT_MS);
        yield* group.refresh();
      } while (group.ownerOf(slice) === owner);
      return { status: OwnerStatus.Unresponsive, error: "another instance has become the owner" };
    });
  }

  #askOnce<R extends ISliceResult>(
    question: IOwnerQuestion<R>,
    { owner, leftMs, fastLimitMs }: { owner: string; leftMs: number; fastLimitMs: number },
  ): Effect.Effect<IOwnerReply<R>> {
    return Effect.suspend((): Effect.Effect<IOwnerReply<R>> => {
      const { address, peers } = this.#opts;
      if (owner === "") return Effect.succeed({ status: OwnerStatus.Unknown });
      const toReply = (response: R): IOwnerReply<R> =>
        question.isServed(response)
          ? { status: OwnerStatus.Open, response }
          : { status: toOwnerStatus(response.sliceStatus) };
      if (owner === address) {
        const here = Effect.timeoutOption(question.here(), leftMs);
        return Effect.map(
          here,
          (response) =>
            response._tag === "Some" ? toReply(response.value) : { status: OwnerStatus.Unresponsive },
        );
      }
      const { appendShare } = question;
      const limitMs = appendShare === undefined
        ? fastLimitMs
        : Math.min(APPEND_CALL_TIMEOUT_MS, Math.max(fastLimitMs, leftMs * appendShare));
      const call = peers.call(owner, { timeoutMs: Math.min(limitMs, leftMs), invoke: question.there });
      return Effect.map(call, toReply).pipe(
        Effect.catchTag(
          "PeerError",
          ({ message }) => Effect.succeed({ status: OwnerStatus.Unresponsive, error: message }),
        ),
      );
    });
  }
}

/**
 * Encodes a turn for storage: with a reference to each preceding turn, or with the content of the whole chain
 * if that is long or contains a turn that may be evicted before this one.
 */
function toKeptTurn(
  { programId, turnId, tokens, chain, content, retainMs, organisation }: ICompletedTurn,
  now: number,
): KeptTurn {
  const { contents, refs } = chain;
  const mayOutliveAncestor = refs.some(({ storedAtMs }) => now - storedAtMs > retainMs / 4);
  const isFullChain = mayOutliveAncestor || refs.length >= MAX_ANCESTORS;
  return create(KeptTurnSchema, {
    turnId,
    content: isFullChain ? Buffer.concat([...contents, content]) : content,
    ancestors: isFullChain ? [] : [...refs],
    storedAtMs: now,
    retainMs,
    organisation,
    programId,
    tokens,
  });
}
