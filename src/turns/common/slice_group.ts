/** Which instance owns which slice: a group of the platform's log assigns them. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import { Signal } from "../../base/common/signal.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import type { IPartition, IPartitionedLog, StoreError } from "../../services/store/common/partitioned_log.ts";
import type { OwnedSlices } from "./owned_slices.ts";

const GROUP = "slices";
/** Time after which a silent instance loses its slices, in ms: four missed renewals. */
const TTL_MS = 2000;
/** Time between two renewals, in ms: a quarter of the time after which slices are lost. */
const JOIN_INTERVAL_MS = 500;
/** Pause before a new generation is confirmed, in ms. */
const CONFIRM_PAUSE_MS = 20;
/** Time between two looks at all owners, in ms: changes are also noticed by a refusal of a former owner. */
const OWNERS_INTERVAL_MS = 1500;
/** Least time between two looks that failed requests ask for, in ms. */
const MIN_REFRESH_MS = 120;

/** Who owns which slice, as learnt from the store or from a peer. */
export interface IOwnerTable {
  readonly generation: number;
  /** Address of each slice's owner; empty for a slice without one. */
  readonly addresses: readonly string[];
}

export interface ISliceGroupOptions {
  readonly log: IPartitionedLog;
  readonly logger: ILogger;
  /** Address at which peers reach this instance; its name in the group. */
  readonly address: string;
  readonly partitions: readonly IPartition[];
  readonly owned: OwnedSlices;
  /** Asks a peer for its table while the store does not answer. */
  readonly askPeer: (address: string) => Effect.Effect<IOwnerTable | undefined>;
}

export class SliceGroup {
  readonly #opts: ISliceGroupOptions;
  readonly #topics: readonly string[];
  readonly #sliceOf = new Map<string, number>();
  readonly #joinNow = new Signal();
  readonly #lookNow = new Signal();
  readonly #didLook = new Signal();
  readonly #onDidChange = new Emitter<IOwnerTable>();
  readonly onDidChange: Event<IOwnerTable> = this.#onDidChange.event;
  #table: IOwnerTable = { generation: 0, addresses: [] };
  #generation = 0;
  #isLeaving = false;
  #isFailing = false;
  #lastLookMs = 0;

  constructor(opts: ISliceGroupOptions) {
    this.#opts = opts;
    this.#topics = [...new Set(opts.partitions.map(({ topic }) => topic))];
    opts.partitions.forEach((partition, slice) => this.#sliceOf.set(keyOf(partition), slice));
  }

  get table(): IOwnerTable {
    return this.#table;
  }

  /** Addresses of the other instances that own slices. */
  get peers(): string[] {
    const others = this.#table.addresses.filter((address) =>
      address !== "" && address !== this.#opts.address
    );
    return [...new Set(others)];
  }

  /** Address of a slice's owner; empty when none is known. */
  ownerOf(slice: number): string {
    return this.#table.addresses[slice] ?? "";
  }

  /** Renews the membership and follows the owners until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      yield* Effect.forkScoped(this.#renew());
      yield* Effect.forkScoped(this.#follow());
    });
  }

  /** Has the table refreshed, and waits for it. */
  refresh(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const looked = this.#didLook.wait();
      const now = yield* Clock.currentTimeMillis;
      const pauseMs = Math.max(0, this.#lastLookMs + MIN_REFRESH_MS - now);
      if (pauseMs > 0) yield* Effect.sleep(pauseMs);
      this.#lookNow.notify();
      yield* Effect.timeoutOption(looked, MIN_REFRESH_MS);
    });
  }

  /** Renews the membership at once, since another instance has left. */
  renewNow(): void {
    this.#joinNow.notify();
    this.#lookNow.notify();
  }

  /** Gives all slices up, in order, and leaves the group. */
  leave(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#isLeaving = true;
      yield* this.#opts.owned.assign(new Set());
      yield* this.#opts.log.leave(GROUP, this.#opts.address).pipe(
        Effect.catchTag(
          "StoreError",
          (err) => Effect.sync(() => this.#opts.logger.warn("group-leave-failed", { error: err.message })),
        ),
      );
    });
  }

  /** Takes up a peer's table if it is newer. */
  adopt(table: IOwnerTable): void {
    if (table.generation > this.#table.generation) this.#setTable(table);
  }

  #renew(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#isLeaving) {
        const hasChanged = yield* this.#join().pipe(
          Effect.catchTag("StoreError", (err) => Effect.as(this.#noteFailure(err), false)),
        );
        // The platform hands a slice on only once its former owner has named the new generation.
        const pauseMs = hasChanged ? CONFIRM_PAUSE_MS : JOIN_INTERVAL_MS;
        yield* Effect.raceFirst(this.#joinNow.wait(), Effect.sleep(pauseMs));
      }
    });
  }

  /** Renews the membership; returns whether the generation has changed. */
  #join(): Effect.Effect<boolean, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { generation, partitions } = yield* this.#opts.log.join({
        group: GROUP,
        member: this.#opts.address,
        topics: this.#topics,
        ttlMs: TTL_MS,
        generation: this.#generation,
      });
      if (this.#isLeaving) return false;
      this.#noteSuccess();
      const hasChanged = generation !== this.#generation;
      const slices = partitions.map((partition) => this.#sliceOf.get(keyOf(partition)))
        .filter((slice) => slice !== undefined);
      if (hasChanged) this.#opts.logger.info("group-generation", { generation, slices });
      yield* this.#opts.owned.assign(new Set(slices));
      this.#generation = generation;
      if (hasChanged) this.#lookNow.notify();
      return hasChanged;
    });
  }

  #follow(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* this.#look();
        this.#didLook.notify();
        yield* Effect.raceFirst(this.#lookNow.wait(), Effect.sleep(OWNERS_INTERVAL_MS));
      }
    });
  }

  #look(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#lastLookMs = yield* Clock.currentTimeMillis;
      const generation = this.#generation;
      const owners = yield* Effect.result(this.#opts.log.owners(GROUP));
      if (owners._tag === "Failure") return yield* this.#lookAtPeers();
      const addresses = this.#opts.partitions.map(() => "");
      for (const { partition, member } of owners.success) {
        const slice = this.#sliceOf.get(keyOf(partition));
        if (slice !== undefined) addresses[slice] = member;
      }
      this.#setTable({ generation, addresses });
    });
  }

  #lookAtPeers(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { peers } = this;
      if (peers.length === 0) return;
      const at = Math.floor((yield* Clock.currentTimeMillis) % peers.length);
      const table = yield* this.#opts.askPeer(peers[at]);
      if (table !== undefined) this.adopt(table);
    });
  }

  #setTable(table: IOwnerTable): void {
    const hasChanged = table.addresses.some((address, slice) => address !== this.#table.addresses[slice]);
    this.#table = table;
    if (!hasChanged) return;
    this.#opts.logger.info("owners-changed", { generation: table.generation, peers: this.peers.length });
    this.#onDidChange.fire(table);
  }

  #noteFailure({ fault, message }: StoreError): Effect.Effect<void> {
    return Effect.sync(() => {
      if (this.#isFailing) return;
      this.#isFailing = true;
      this.#opts.logger.warn("group-renewal-failed", { fault, error: message, generation: this.#generation });
    });
  }

  #noteSuccess(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#opts.logger.info("group-renewal-regained", { generation: this.#generation });
  }
}

function keyOf({ topic, part }: IPartition): string {
  return `${topic}/${part}`;
}
