/** Keeps the origins of recent streams in a keyed topic of the store, so that they survive a restart of all instances. */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect, Latch, Semaphore } from "effect";
import { toError } from "../../base/common/errors.ts";
import { repeatWhenNeeded } from "../../base/common/periodic.ts";
import { BegunStreamListSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";
import { supervise } from "../../services/logging/common/supervision.ts";
import type { IKeyedItem, IPartitionedLog, StoreError } from "../../services/store/common/partitioned_log.ts";
import { isValidKey } from "../../services/store/common/partitioned_log.ts";
import type { IStreamOrigin } from "./stream_origin.ts";
import type { IBegunStream, StreamOriginRegistry } from "./stream_origin_registry.ts";
import { isUsableStream } from "./usable_messages.ts";

/** Interval between two writes; the streams begun within it are lost if all instances are killed at once. */
const WRITE_INTERVAL_MS = 1000;
/** Age up to which streams are written, in ms: a caller gives up a stream within a few seconds. */
const STORED_AGE_MS = 10_000;
/** Age of the last stream under a key from which the key of another instance is deleted, in ms. */
const ABANDONED_AGE_MS = 10 * 60_000;
const RETRY_DELAY_MS = 500;

export interface IStreamOriginReplicatorOptions {
  readonly log: IPartitionedLog;
  readonly topic: string;
  /** Name of this instance, under which its streams are stored. */
  readonly instance: string;
  readonly registry: StreamOriginRegistry;
  readonly logger: ILogger;
  /** Unix time in ms. */
  readonly now: () => number;
}

/** Makes the origin of a stream known before the stream begins. */
export interface IStreamOriginAnnouncer {
  /** Records the origin in the store and reports it to the other instances; returns false if the store does not accept it. */
  announce(
    stream: { readonly attemptId: string; readonly contentKey: bigint },
    origin: IStreamOrigin,
  ): Effect.Effect<boolean>;
}

export class StreamOriginReplicator implements IStreamOriginAnnouncer {
  readonly #opts: IStreamOriginReplicatorOptions;
  /** Serializes writes, so that an older list never replaces a newer one. */
  readonly #writing = Semaphore.makeUnsafe(1);
  /** Open while streams may have begun that are not written. */
  readonly #unwritten = Latch.makeUnsafe(true);
  #isLoaded = false;
  #lastWritten: IBegunStream | undefined;
  #isFailing = false;

  constructor(opts: IStreamOriginReplicatorOptions) {
    this.#opts = opts;
    opts.registry.onDidBegin(() => Latch.openUnsafe(this.#unwritten));
  }

  /** Reads the streams of all instances once, then writes those of this one until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const replicate = Effect.gen({ self: this }, function* () {
      // Nothing is written before the stored streams have been read, as a write replaces those of an earlier run.
      while (!(yield* this.#attempt(this.#load()))) yield* Effect.sleep(RETRY_DELAY_MS);
      this.#isLoaded = true;
      yield* repeatWhenNeeded({
        intervalMs: WRITE_INTERVAL_MS,
        awaitWork: this.#unwritten.await,
        work: this.#writeNew(),
      });
    });
    const { logger } = this.#opts;
    return Effect.asVoid(Effect.forkScoped(supervise(replicate, { component: "stream origins", logger })));
  }

  announce(
    stream: { readonly attemptId: string; readonly contentKey: bigint },
    origin: IStreamOrigin,
  ): Effect.Effect<boolean> {
    return Effect.suspend(() => {
      if (!this.#isLoaded || origin.softwareVersion === undefined) return Effect.succeed(false);
      this.#opts.registry.record(stream, origin);
      return this.#attempt(this.#write());
    });
  }

  #load(): Effect.Effect<void, StoreError> {
    return Effect.gen({ self: this }, function* () {
      const { log, topic, instance, registry } = this.#opts;
      const { items } = yield* log.readLatestValues(topic);
      const abandoned: string[] = [];
      for (const item of items) {
        const streams = this.#decode(item);
        for (const stream of streams) {
          if (item.key === instance) registry.restore(stream);
          else registry.add(stream);
        }
        const isForeign = item.key !== instance && isValidKey(item.key);
        if (isForeign && this.#isAbandoned(streams)) abandoned.push(item.key);
      }
      if (abandoned.length > 0) {
        yield* log.writeKeys(topic, abandoned.map((key) => ({ key, value: undefined })));
      }
    });
  }

  #writeNew(): Effect.Effect<void> {
    return Effect.gen({ self: this }, function* () {
      Latch.closeUnsafe(this.#unwritten);
      if (!(yield* this.#attempt(this.#write()))) Latch.openUnsafe(this.#unwritten);
    });
  }

  #isAbandoned(streams: readonly IBegunStream[]): boolean {
    const newestMs = streams.reduce((newest, { atMs }) => Math.max(newest, atMs), 0);
    return this.#opts.now() - newestMs > ABANDONED_AGE_MS;
  }

  /** Returns the usable streams of a list. */
  #decode({ key, value }: IKeyedItem): readonly IBegunStream[] {
    const { logger, now } = this.#opts;
    try {
      const { streams } = fromBinary(BegunStreamListSchema, value);
      const usable = streams.filter((stream) => isUsableStream(stream, now()));
      const unusable = streams.length - usable.length;
      if (unusable > 0) logger.warn("streams-unusable", { key, unusable });
      return usable;
    } catch (err) {
      logger.warn("streams-unreadable", { key, error: toError(err).message });
      return [];
    }
  }

  #write(): Effect.Effect<void, StoreError> {
    return this.#writing.withPermit(Effect.suspend(() => {
      const { log, topic, instance, registry, now } = this.#opts;
      const own = registry.ownStreams();
      const newest = own.at(-1);
      if (newest === this.#lastWritten) return Effect.void;
      const streams = own.filter(({ atMs }) => now() - atMs <= STORED_AGE_MS);
      const value = toBinary(BegunStreamListSchema, create(BegunStreamListSchema, { streams }));
      return Effect.map(log.writeKeys(topic, [{ key: instance, value }]), () => {
        this.#lastWritten = newest;
      });
    }));
  }

  /** Makes a call to the store; returns whether it succeeded. Logs the first of consecutive failures. */
  #attempt(call: Effect.Effect<void, StoreError>): Effect.Effect<boolean> {
    return call.pipe(
      Effect.map(() => {
        this.#isFailing = false;
        return true;
      }),
      Effect.catchTag("StoreError", ({ fault, message }) => {
        if (!this.#isFailing) this.#opts.logger.warn("streams-store-failed", { fault, error: message });
        this.#isFailing = true;
        return Effect.succeed(false);
      }),
    );
  }
}
