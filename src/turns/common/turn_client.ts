/** Client of the owners of budgets and kept turns, which may be this instance or a peer. */
import { create } from "@bufbuild/protobuf";
import type { Client } from "@connectrpc/connect";
import { Clock, Effect } from "effect";
import type {
  BeginTurnRequest,
  EndTurnRequest,
  KeptTurn,
  TurnRef,
  TurnService,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import {
  BeginTurnRequestSchema,
  EndTurnRequestSchema,
  KeptTurnSchema,
  PromptHomeSchema,
  TurnRefSchema,
  TurnVerdict,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { PeerError } from "../../base/common/errors.ts";
import type { PeerRpcClients } from "../../membership/common/peer_client.ts";
import { mayContinue } from "../../services/organisations/common/organisation_scope.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { KeptTurnMap } from "./kept_turn_map.ts";
import type { IPromptHome } from "./prompt_home_cache.ts";
import type { IBeginTurnResult, OwnedSlices } from "./owned_slices.ts";
import type { SliceGroup } from "./slice_group.ts";
import type { ITurnGrantRequest } from "./spending_ledger.ts";

/** Time limit for calls that may wait for an append: recording a grant can take up to a second. */
const APPEND_CALL_TIMEOUT_MS = 1300;
/** Time limit for calls that need no append; the connection or the owner is presumed lost when exceeded. */
const FAST_CALL_TIMEOUT_MS = 350;
/** Delay before the owner is looked up again and the call is retried. */
const RETRY_DELAY_MS = 60;
/** Time limit for reporting the end of a turn to its owner: longer than the reassignment of a slice takes. */
const END_REPORT_TIMEOUT_MS = 15_000;
/** Maximum number of references; a longer chain is stored in full, which bounds a later turn's lookups. */
const MAX_ANCESTORS = 16;

type TurnServiceClient = Client<typeof TurnService>;

/** Dependencies and address of a {@link TurnClient}. */
export interface ITurnClientOptions {
  readonly owned: OwnedSlices;
  readonly group: SliceGroup;
  readonly peers: PeerRpcClients<typeof TurnService>;
  readonly logger: ILogger;
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

/** Who looks up a turn, and for how long. */
export interface ILoadTurnOptions {
  readonly timeoutMs: number;
  /** Name of the caller's organisation, as in {@link KeptTurn}. */
  readonly organisation?: string | undefined;
}

/** Access to budgets and kept turns, whichever instance owns them. */
export interface ITurnClient {
  /** Requests to begin a turn; undefined when no owner responded within `timeoutMs`. */
  begin(request: ITurnRequest, timeoutMs: number): Effect.Effect<IBeginTurnResult | undefined>;
  /** Reports to the owner the tokens that a turn has delivered. */
  end(turn: IEndedTurn): Effect.Effect<void>;
  /** Loads the chain that ends with a turn, all of which must belong to the caller's organisation. */
  load(turnId: string, opts: ILoadTurnOptions): Effect.Effect<ChainLookupResult>;
  /** Stores a completed turn; true once it is in the log. */
  store(completed: ICompletedTurn, timeoutMs: number): Effect.Effect<boolean>;
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

  begin(request: ITurnRequest, timeoutMs: number): Effect.Effect<IBeginTurnResult | undefined> {
    const req = create(BeginTurnRequestSchema, { ...request, partIds: [...request.partIds] });
    return this.#retry(timeoutMs, () => this.#beginOnce(req));
  }

  end(turn: IEndedTurn): Effect.Effect<void> {
    const home = turn.home === undefined ? undefined : create(PromptHomeSchema, turn.home);
    const req = create(EndTurnRequestSchema, { ...turn, home });
    return Effect.map(this.#retry(END_REPORT_TIMEOUT_MS, () => this.#endOnce(req)), (isReported) => {
      if (!isReported) this.#opts.logger.warn("turn-end-unreported", turn);
    });
  }

  load(turnId: string, opts: ILoadTurnOptions): Effect.Effect<ChainLookupResult> {
    return Effect.gen({ self: this }, function* () {
      const last = yield* this.#loadTurn(turnId, opts);
      if (!(last instanceof Object)) return { state: last };
      const ancestors = yield* Effect.forEach(
        last.ancestors,
        (ref) => this.#loadTurn(ref.turnId, opts),
        { concurrency: "unbounded" },
      );
      const turns: KeptTurn[] = [];
      for (const turn of [...ancestors, last]) {
        if (!(turn instanceof Object)) return { state: turn };
        turns.push(turn);
      }
      const contents = turns.map(({ content }) => content);
      const refs = turns.map((turn) =>
        create(TurnRefSchema, { turnId: turn.turnId, storedAtMs: turn.storedAtMs })
      );
      const ended = turns.filter(({ programId }) => programId !== "").map((turn) => {
        return { programId: turn.programId, turnId: turn.turnId, tokens: turn.tokens, home: undefined };
      });
      return { state: ChainLookupStatus.Found, chain: { contents, refs, ended } };
    });
  }

  store(completed: ICompletedTurn, timeoutMs: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const turn = toKeptTurn(completed, now);
      const isStored = yield* this.#retry(timeoutMs, () => this.#storeOnce(turn));
      if (isStored !== true) return false;
      this.#recent.evictExpired(now);
      this.#recent.put(turn);
      return true;
    });
  }

  #loadTurn(
    turnId: string,
    { timeoutMs, organisation }: ILoadTurnOptions,
  ): Effect.Effect<KeptTurn | ChainLookupFailure> {
    return Effect.gen({ self: this }, function* () {
      const recent = this.#recent.find(turnId, organisation);
      if (recent !== undefined && mayContinue(recent.organisation, organisation)) return recent;
      const found = yield* this.#retry(timeoutMs, () => this.#loadOnce({ turnId, organisation }));
      if (found === undefined) return ChainLookupStatus.Unavailable;
      if (found.turn === undefined) return ChainLookupStatus.Unknown;
      if (!mayContinue(found.turn.organisation, organisation)) return ChainLookupStatus.NotOwned;
      this.#recent.put(found.turn);
      return found.turn;
    });
  }

  /** Retries a call, each time with a refreshed owner table; undefined when no owner responds in time. */
  #retry<T>(
    timeoutMs: number,
    attempt: () => Effect.Effect<T | undefined, PeerError>,
  ): Effect.Effect<T | undefined> {
    return Effect.gen({ self: this }, function* () {
      const deadlineMs = (yield* Clock.currentTimeMillis) + timeoutMs;
      while (true) {
        const result = yield* Effect.catchTag(attempt(), "PeerError", () => Effect.succeed(undefined));
        if (result !== undefined) return result;
        if ((yield* Clock.currentTimeMillis) + RETRY_DELAY_MS >= deadlineMs) return undefined;
        yield* Effect.sleep(RETRY_DELAY_MS);
        yield* this.#opts.group.refresh();
      }
    });
  }

  #beginOnce(req: BeginTurnRequest): Effect.Effect<IBeginTurnResult | undefined, PeerError> {
    const owner = this.#ownerOf(req.programId);
    const begun = owner === this.#opts.address
      ? this.#opts.owned.begin(req)
      : this.#call(owner, (client, signal) => client.beginTurn(req, { signal }), APPEND_CALL_TIMEOUT_MS);
    return Effect.map(begun, (res) => res?.verdict === TurnVerdict.NOT_OWNER ? undefined : res);
  }

  #endOnce(req: EndTurnRequest): Effect.Effect<true | undefined, PeerError> {
    const owner = this.#ownerOf(req.programId);
    const isOwner = owner === this.#opts.address ? this.#opts.owned.end(req) : Effect.map(
      this.#call(owner, (client, signal) => client.endTurn(req, { signal }), FAST_CALL_TIMEOUT_MS),
      (res) => res?.isOwner,
    );
    return Effect.map(isOwner, (value) => value === true ? true : undefined);
  }

  #storeOnce(turn: KeptTurn): Effect.Effect<true | undefined, PeerError> {
    const owner = this.#ownerOf(turn.turnId);
    const isStored = owner === this.#opts.address ? this.#opts.owned.store(turn) : Effect.map(
      this.#call(owner, (client, signal) => client.storeTurn({ turn }, { signal }), APPEND_CALL_TIMEOUT_MS),
      (res) => res?.isStored,
    );
    return Effect.map(isStored, (value) => value === true ? true : undefined);
  }

  #loadOnce(
    { turnId, organisation }: { turnId: string; organisation: string | undefined },
  ): Effect.Effect<{ turn: KeptTurn | undefined } | undefined, PeerError> {
    const owner = this.#ownerOf(turnId);
    const loaded = owner === this.#opts.address ? this.#opts.owned.load(turnId, organisation) : this.#call(
      owner,
      (client, signal) => client.loadTurn({ turnId, organisation }, { signal }),
      FAST_CALL_TIMEOUT_MS,
    );
    return Effect.map(loaded, (res) => res?.isOwner ? { turn: res.turn } : undefined);
  }

  #ownerOf(id: string): string {
    return this.#opts.group.ownerOf(this.#opts.owned.sliceOf(id));
  }

  #call<T>(
    address: string,
    invoke: (client: TurnServiceClient, signal: AbortSignal) => Promise<T>,
    timeoutMs: number,
  ): Effect.Effect<T | undefined, PeerError> {
    if (address === "") return Effect.succeed(undefined);
    return this.#opts.peers.call(address, { timeoutMs, invoke });
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
