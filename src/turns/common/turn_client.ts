/** Asks the owners of budgets and kept turns, here or on a peer. */
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
import type { ServiceClients } from "../../membership/common/peer_client.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { KeptTurns } from "./kept_turns.ts";
import type { IPromptHome } from "./prompt_homes.ts";
import type { IBegunTurn, OwnedSlices } from "./owned_slices.ts";
import type { SliceGroup } from "./slice_group.ts";
import type { ITurnGrant } from "./spending_ledger.ts";

/** Longest wait for one answer of an owner, in ms; a grant that must be recorded first may take a second. */
const CALL_TIMEOUT_MS = 1300;
/** Longest wait for an owner's plain answer, in ms: beyond it the connection or the owner is taken as lost. */
const QUICK_TIMEOUT_MS = 350;
/** Pause before an owner is looked up anew, in ms. */
const RETRY_PAUSE_MS = 60;
/** How long the end of a turn is offered to its owner, in ms: longer than a slice takes to change hands. */
const END_PATIENCE_MS = 15_000;
/** Turns in one chain from which on the content is stored whole: bounds the look-ups of a later turn. */
const MAX_ANCESTORS = 16;

type TurnClientOf = Client<typeof TurnService>;

export interface ITurnClientOptions {
  readonly owned: OwnedSlices;
  readonly group: SliceGroup;
  readonly peers: ServiceClients<typeof TurnService>;
  readonly logger: ILogger;
  /** Address at which peers reach this instance. */
  readonly address: string;
}

/** What a turn goes on from. */
export interface IChain {
  /** Contents of the turns before, the oldest first. */
  readonly contents: readonly Uint8Array[];
  readonly refs: readonly TurnRef[];
}

export enum ChainState {
  Found = "found",
  /** The owner knows no such turn. */
  Unknown = "unknown",
  /** No owner could be asked in time. */
  Unavailable = "unavailable",
}

export type ChainResult =
  | { readonly state: ChainState.Found; readonly chain: IChain }
  | { readonly state: ChainState.Unknown | ChainState.Unavailable };

/** A turn that has been answered whole. */
export interface IFinishedTurn {
  readonly turnId: string;
  readonly chain: IChain;
  /** Input and output of the turn itself. */
  readonly content: Uint8Array;
  readonly retainMs: number;
}

/** Budgets and kept turns, wherever their owners are. */
export interface ITurnClient {
  /** Asks for a turn; undefined when no owner could be asked in time. */
  begin(demand: ITurnDemand, patienceMs: number): Effect.Effect<IBegunTurn | undefined>;
  /** Reports to the owner what a turn has delivered. */
  end(turn: IEndedTurn): Effect.Effect<void>;
  /** The chain that ends with a turn. */
  load(turnId: string, patienceMs: number): Effect.Effect<ChainResult>;
  /** Keeps a finished turn; true once it is in the log. */
  keep(finished: IFinishedTurn, patienceMs: number): Effect.Effect<boolean>;
}

/** A turn that is over, however it ended. */
export interface IEndedTurn {
  readonly programId: string;
  readonly turnId: string;
  /** Tokens delivered to the caller. */
  readonly tokens: number;
  /** Where the prompt was read; undefined when it was not. */
  readonly home: IPromptHome | undefined;
}

/** Asks for a turn. */
export interface ITurnDemand extends ITurnGrant {
  /** Parts of the prompt in order. */
  readonly partIds: readonly string[];
}

export class TurnClient implements ITurnClient {
  readonly #opts: ITurnClientOptions;
  /** Turns that passed through this instance; their content never changes. */
  readonly #recent = new KeptTurns();

  constructor(opts: ITurnClientOptions) {
    this.#opts = opts;
  }

  begin(demand: ITurnDemand, patienceMs: number): Effect.Effect<IBegunTurn | undefined> {
    const req = create(BeginTurnRequestSchema, { ...demand, partIds: [...demand.partIds] });
    return this.#retry(patienceMs, () => this.#beginOnce(req));
  }

  end(turn: IEndedTurn): Effect.Effect<void> {
    const home = turn.home === undefined ? undefined : create(PromptHomeSchema, turn.home);
    const req = create(EndTurnRequestSchema, { ...turn, home });
    return Effect.map(this.#retry(END_PATIENCE_MS, () => this.#endOnce(req)), (isReported) => {
      if (!isReported) this.#opts.logger.warn("turn-end-unreported", turn);
    });
  }

  load(turnId: string, patienceMs: number): Effect.Effect<ChainResult> {
    return Effect.gen({ self: this }, function* () {
      const last = yield* this.#loadTurn(turnId, patienceMs);
      if (!(last instanceof Object)) return { state: last };
      const before = yield* Effect.forEach(last.ancestors, (ref) => this.#loadTurn(ref.turnId, patienceMs), {
        concurrency: "unbounded",
      });
      const turns: KeptTurn[] = [];
      for (const turn of [...before, last]) {
        if (!(turn instanceof Object)) return { state: turn };
        turns.push(turn);
      }
      const contents = turns.map(({ content }) => content);
      const refs = turns.map((turn) =>
        create(TurnRefSchema, { turnId: turn.turnId, storedAtMs: turn.storedAtMs })
      );
      return { state: ChainState.Found, chain: { contents, refs } };
    });
  }

  keep(finished: IFinishedTurn, patienceMs: number): Effect.Effect<boolean> {
    return Effect.gen({ self: this }, function* () {
      const now = yield* Clock.currentTimeMillis;
      const turn = toKeptTurn(finished, now);
      const isStored = yield* this.#retry(patienceMs, () => this.#storeOnce(turn));
      if (isStored !== true) return false;
      this.#recent.forget(now);
      this.#recent.put(turn);
      return true;
    });
  }

  #loadTurn(
    turnId: string,
    patienceMs: number,
  ): Effect.Effect<KeptTurn | ChainState.Unknown | ChainState.Unavailable> {
    return Effect.gen({ self: this }, function* () {
      const recent = this.#recent.get(turnId);
      if (recent !== undefined) return recent;
      const found = yield* this.#retry(patienceMs, () => this.#loadOnce(turnId));
      if (found === undefined) return ChainState.Unavailable;
      if (found.turn === undefined) return ChainState.Unknown;
      this.#recent.put(found.turn);
      return found.turn;
    });
  }

  /** Repeats a call until an owner answers; undefined when the patience ends before. */
  #retry<T>(
    patienceMs: number,
    once: () => Effect.Effect<T | undefined, PeerError>,
  ): Effect.Effect<T | undefined> {
    return Effect.gen({ self: this }, function* () {
      const until = (yield* Clock.currentTimeMillis) + patienceMs;
      while (true) {
        const answer = yield* Effect.catchTag(once(), "PeerError", () => Effect.succeed(undefined));
        if (answer !== undefined) return answer;
        if ((yield* Clock.currentTimeMillis) + RETRY_PAUSE_MS >= until) return undefined;
        yield* Effect.sleep(RETRY_PAUSE_MS);
        yield* this.#opts.group.refresh();
      }
    });
  }

  #beginOnce(req: BeginTurnRequest): Effect.Effect<IBegunTurn | undefined, PeerError> {
    const owner = this.#ownerOf(req.programId);
    const begun = owner === this.#opts.address
      ? this.#opts.owned.begin(req)
      : this.#call(owner, (client, signal) => client.beginTurn(req, { signal }), CALL_TIMEOUT_MS);
    return Effect.map(begun, (res) => res?.verdict === TurnVerdict.NOT_OWNER ? undefined : res);
  }

  #endOnce(req: EndTurnRequest): Effect.Effect<true | undefined, PeerError> {
    const owner = this.#ownerOf(req.programId);
    const isOwner = owner === this.#opts.address ? this.#opts.owned.end(req) : Effect.map(
      this.#call(owner, (client, signal) => client.endTurn(req, { signal }), QUICK_TIMEOUT_MS),
      (res) => res?.isOwner,
    );
    return Effect.map(isOwner, (value) => value === true ? true : undefined);
  }

  #storeOnce(turn: KeptTurn): Effect.Effect<true | undefined, PeerError> {
    const owner = this.#ownerOf(turn.turnId);
    const isStored = owner === this.#opts.address ? this.#opts.owned.store(turn) : Effect.map(
      this.#call(owner, (client, signal) => client.storeTurn({ turn }, { signal }), CALL_TIMEOUT_MS),
      (res) => res?.isStored,
    );
    return Effect.map(isStored, (value) => value === true ? true : undefined);
  }

  #loadOnce(turnId: string): Effect.Effect<{ turn: KeptTurn | undefined } | undefined, PeerError> {
    const owner = this.#ownerOf(turnId);
    const loaded = owner === this.#opts.address ? this.#opts.owned.load(turnId) : this.#call(
      owner,
      (client, signal) => client.loadTurn({ turnId }, { signal }),
      QUICK_TIMEOUT_MS,
    );
    return Effect.map(loaded, (res) => res?.isOwner ? { turn: res.turn } : undefined);
  }

  #ownerOf(id: string): string {
    return this.#opts.group.ownerOf(this.#opts.owned.sliceOf(id));
  }

  #call<T>(
    address: string,
    invoke: (client: TurnClientOf, signal: AbortSignal) => Promise<T>,
    timeoutMs: number,
  ): Effect.Effect<T | undefined, PeerError> {
    if (address === "") return Effect.succeed(undefined);
    return this.#opts.peers.call(address, { timeoutMs, invoke });
  }
}

/**
 * A turn as it is stored: a reference to each turn before it, or the whole chain where that is long or
 * begins with a turn that may be forgotten before this one.
 */
function toKeptTurn({ turnId, chain, content, retainMs }: IFinishedTurn, now: number): KeptTurn {
  const { contents, refs } = chain;
  const isOld = refs.some(({ storedAtMs }) => now - storedAtMs > retainMs / 4);
  const isWhole = isOld || refs.length >= MAX_ANCESTORS;
  return create(KeptTurnSchema, {
    turnId,
    content: isWhole ? Buffer.concat([...contents, content]) : content,
    ancestors: isWhole ? [] : [...refs],
    storedAtMs: now,
    retainMs,
  });
}
