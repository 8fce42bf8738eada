/** Assignment of slices, the shards of programs and turns, to instances by a group of the platform's log. */
import type { Scope } from "effect";
import { Clock, Effect } from "effect";
import type { Event } from "../../base/common/emitter.ts";
import { Emitter } from "../../base/common/emitter.ts";
import { Signal } from "../../base/common/signal.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { supervise } from "../../services/logging/common/supervision.ts";
import type { IPartition, IPartitionedLog, StoreError } from "../../services/store/common/partitioned_log.ts";
import { StoreFault } from "../../services/store/common/partitioned_log.ts";
import type { OwnedSlices } from "./owned_slices.ts";

const GROUP = "slices";
/** Membership timeout: an instance loses its slices after four refused renewals, or two that were not answered. */
const TTL_MS = 2000;
/** Interval between membership renewals: a quarter of {@link TTL_MS}. */
const RENEWAL_INTERVAL_MS = 500;
/** Delay after a renewal that was not answered: it may have taken half of {@link TTL_MS}. */
const RETRY_DELAY_MS = 150;
/** Delay before the renewal that confirms a new generation. */
const CONFIRM_DELAY_MS = 20;
/** Interval between reads of all owners: a refusal by a former owner also triggers a read. */
const REFRESH_INTERVAL_MS = 1500;
/** Minimum interval between reads that failed requests trigger, and time limit for waiting on one. */
const MIN_REFRESH_INTERVAL_MS = 120;

/** Owner of each slice, as read from the store or from a peer. */
export interface IOwnerTable {
  /** Generation of the group's assignment that the table was read at. */
  readonly generation: number;
  /** Peer address of each slice's owner, by slice number; empty for a slice without one. */
  readonly addresses: readonly string[];
}

/** Dependencies and identity of a {@link SliceGroup}. */
export interface ISliceGroupOptions {
  readonly log: IPartitionedLog;
  readonly logger: ILogger;
  /** Address at which peers reach this instance; also its member name in the group. */
  readonly address: string;
  /** Partition of each slice, by slice number. */
  readonly partitions: readonly IPartition[];
  readonly owned: OwnedSlices;
  /** Fetches a peer's table while the store does not respond. */
  readonly askPeer: (address: string) => Effect.Effect<IOwnerTable | undefined>;
}

/** Keeps this instance's membership in the slice group and the table of all owners up to date. */
export class SliceGroup {
  readonly #opts: ISliceGroupOptions;
  readonly #topics: readonly string[];
  readonly #sliceOf = new Map<string, number>();
  readonly #renewSignal = new Signal();
  readonly #refreshSignal = new Signal();
  readonly #refreshed = new Signal();
  readonly #onDidChange = new Emitter<IOwnerTable>();
  readonly onDidChange: Event<IOwnerTable> = this.#onDidChange.event;
  #table: IOwnerTable = { generation: 0, addresses: [] };
  #generation = 0;
  #isLeaving = false;
  #isFailing = false;
  /** Whether the last read of the owners from the store failed. */
  #isReadFailing = false;
  #lastRefreshMs = 0;

  constructor(opts: ISliceGroupOptions) {
    this.#opts = opts;
    this.#topics = [...new Set(opts.partitions.map(({ topic }) => topic))];
    opts.partitions.forEach((partition, slice) => this.#sliceOf.set(keyOf(partition), slice));
  }

  get table(): IOwnerTable {
    return this.#table;
  }

  /** Peer addresses of all instances that own slices. */
  get addresses(): string[] {
    return [...new Set(this.#table.addresses)].filter((address) => address !== "");
  }

  /** Peer addresses of the other instances that own slices. */
  get peers(): string[] {
    const others = this.#table.addresses.filter((address) =>
      address !== "" && address !== this.#opts.address
    );
    return [...new Set(others)];
  }

  /** Peer address of a slice's owner; empty when none is known. */
  ownerOf(slice: number): string {
    return this.#table.addresses[slice] ?? "";
  }

  /** Renews the membership and refreshes the table periodically until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({ self: this }, function* () {
      const { logger } = this.#opts;
      yield* Effect.forkScoped(supervise(this.#renewLoop(), { component: "group renewal", logger }));
      yield* Effect.forkScoped(supervise(this.#refreshLoop(), { component: "owner table", logger }));
    });
  }

  /** Refreshes the table, rate-limited by {@link MIN_REFRESH_INTERVAL_MS}, and waits for the result. */
  refresh(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const refreshed = this.#refreshed.wait();
      const now = yield* Clock.currentTimeMillis;
      const delayMs = Math.max(0, this.#lastRefreshMs + MIN_REFRESH_INTERVAL_MS - now);
      if (delayMs > 0) yield* Effect.sleep(delayMs);
      this.#refreshSignal.notify();
      yield* Effect.timeoutOption(refreshed, MIN_REFRESH_INTERVAL_MS);
    });
  }

  /** Renews the membership and refreshes the table immediately, after another instance has left the group. */
  renewNow(): void {
    this.#renewSignal.notify();
    this.#refreshSignal.notify();
  }

  /** Releases all slices, then leaves the group. */
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

  /**
   * Replaces the table with a peer's if that has a newer generation. Partitions also move within a generation, once their former
   * owners have joined with it. So while the store cannot be read, a table of the same generation replaces the own one, too.
   */
  updateIfNewer(table: IOwnerTable): void {
    const minGeneration = this.#isReadFailing ? this.#table.generation : this.#table.generation + 1;
    if (table.generation >= minGeneration) this.#setTable(table);
  }

  #renewLoop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (!this.#isLeaving) {
        const delayMs = yield* this.#renewMembership().pipe(
          // The platform reassigns a slice only after its former owner has joined with the new generation.
          Effect.map((hasChanged) => hasChanged ? CONFIRM_DELAY_MS : RENEWAL_INTERVAL_MS),
          Effect.catchTag("StoreError", (err) => Effect.as(this.#logFirstFailure(err), delayAfter(err))),
        );
        yield* Effect.raceFirst(this.#renewSignal.wait(), Effect.sleep(delayMs));
      }
    });
  }

  /** Joins the group or renews the membership; returns whether the generation has changed. */
  #renewMembership(): Effect.Effect<boolean, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { generation, partitions } = yield* this.#opts.log.join({
        group: GROUP,
        member: this.#opts.address,
        topics: this.#topics,
        ttlMs: TTL_MS,
        generation: this.#generation,
      });
      if (this.#isLeaving) return false;
      this.#logRecovery();
      const hasChanged = generation !== this.#generation;
      const slices = partitions.map((partition) => this.#sliceOf.get(keyOf(partition)))
        .filter((slice) => slice !== undefined);
      if (hasChanged) this.#opts.logger.info("group-generation", { generation, slices });
      yield* this.#opts.owned.assign(new Set(slices));
      this.#generation = generation;
      if (hasChanged) this.#refreshSignal.notify();
      return hasChanged;
    });
  }

  #refreshLoop(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      while (true) {
        yield* this.#refreshTable();
        this.#refreshed.notify();
        yield* Effect.raceFirst(this.#refreshSignal.wait(), Effect.sleep(REFRESH_INTERVAL_MS));
      }
    });
  }

  /** Reads the owners from the store, or the table from a peer while the store does not respond. */
  #refreshTable(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      this.#lastRefreshMs = yield* Clock.currentTimeMillis;
      const generation = this.#generation;
      const owners = yield* Effect.result(this.#opts.log.owners(GROUP));
      this.#isReadFailing = owners._tag === "Failure";
      if (owners._tag === "Failure") return yield* this.#refreshFromPeer();
      const addresses = this.#opts.partitions.map(() => "");
      for (const { partition, member } of owners.success) {
        const slice = this.#sliceOf.get(keyOf(partition));
        if (slice !== undefined) addresses[slice] = member;
      }
      this.#setTable({ generation, addresses });
    });
  }

  /** Fetches the table of one peer, selected by the time so that it varies between calls. */
  #refreshFromPeer(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      const { peers } = this;
      if (peers.length === 0) return;
      const index = Math.floor((yield* Clock.currentTimeMillis) % peers.length);
      const table = yield* this.#opts.askPeer(peers[index]);
      if (table !== undefined) this.updateIfNewer(table);
    });
  }

  #setTable(table: IOwnerTable): void {
    const hasChanged = table.addresses.some((address, slice) => address !== this.#table.addresses[slice]);
    this.#table = table;
    if (!hasChanged) return;
    this.#opts.logger.info("owners-changed", { generation: table.generation, peers: this.peers.length });
    this.#onDidChange.fire(table);
  }

  /** Logs the first of consecutive renewal failures. */
  #logFirstFailure({ fault, message }: StoreError): Effect.Effect<void> {
    return Effect.sync(() => {
      if (this.#isFailing) return;
      this.#isFailing = true;
      this.#opts.logger.warn("group-renewal-failed", { fault, error: message, generation: this.#generation });
    });
  }

  /** Logs the first successful renewal after a failure. */
  #logRecovery(): void {
    if (!this.#isFailing) return;
    this.#isFailing = false;
    this.#opts.logger.info("group-renewal-regained", { generation: this.#generation });
  }
}

/** Returns the delay before the renewal that follows a failed one. */
function delayAfter({ fault }: StoreError): number {
  return fault === StoreFault.NoResponse ? RETRY_DELAY_MS : RENEWAL_INTERVAL_MS;
}

function keyOf({ topic, part }: IPartition): string {
  return `${topic}/${part}`;
}
