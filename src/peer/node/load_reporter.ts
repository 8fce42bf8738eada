/** Exchanges UDP datagrams on backend load, prompt prefixes, strikes, begun streams, leaving servers, limits and latencies with the peers. */
import type { Socket } from "node:dgram";
import { createSocket } from "node:dgram";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect } from "effect";
import type { IDisposable } from "../../base/common/emitter.ts";
import { toError } from "../../base/common/errors.ts";
import {
  BegunStreamSchema,
  LatencySampleSchema,
  LoadDigestSchema,
  PromptHomeSchema,
  ServerRunSchema,
  StrikeChangeSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { KnownInstances } from "../../call/common/known_instances.ts";
import type { ServerLinkMonitor } from "../../call/common/server_link_monitor.ts";
import type { CrashMonitor } from "../../call/common/crash_monitor.ts";
import { fromLimitMessage, toLimitMessage } from "../../call/common/limit_message.ts";
import { toStrikeMessage } from "../../call/common/strike_message.ts";
import type { StreamOriginRegistry } from "../../call/common/stream_origin_registry.ts";
import type { BackendLoadTracker } from "../../routing/common/backend_load_tracker.ts";
import type { HedgingPolicy } from "../../routing/common/hedging_policy.ts";
import type { PromptCacheIndex } from "../../routing/common/prompt_cache_index.ts";
import type { LeavingServers } from "../../services/backends/common/leaving_servers.ts";
import type { ServerLimits } from "../../services/backends/common/server_limits.ts";
import type { LimitForwarder } from "../common/limit_forwarder.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";

/** Short compared with the duration of a request. */
const MIN_REPORT_INTERVAL_MS = 100;
/** Added to the report interval per peer; limits what an instance receives to 125 reports per second. */
const REPORT_INTERVAL_PER_PEER_MS = 8;

/** Delay of the report on a stream that has begun; collects those that begin together. */
const STREAM_REPORT_DELAY_MS = 5;

export interface ILoadReporterOptions {
  readonly instance: string;
  readonly host: string;
  /** All instances use the same port. */
  readonly port: number;
  readonly loads: BackendLoadTracker;
  readonly caches: PromptCacheIndex;
  readonly crashes: CrashMonitor;
  readonly streams: StreamOriginRegistry;
  readonly leaving: LeavingServers;
  readonly limits: ServerLimits;
  readonly limitForwarder: LimitForwarder;
  readonly links: ServerLinkMonitor;
  readonly instances: KnownInstances;
  /** Shares its latency samples; undefined if hedging is off. */
  readonly hedging: HedgingPolicy | undefined;
  readonly peerHosts: () => readonly string[];
  readonly logger: ILogger;
}

export class LoadReporter {
  readonly #opts: ILoadReporterOptions;
  readonly #socket: Socket;
  readonly #subscription: IDisposable;
  #isSendPending = false;
  #wasBusy = false;
  #hasLoggedSendFailure = false;

  constructor(opts: ILoadReporterOptions) {
    this.#opts = opts;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (message, { address }) => this.#receive(message, address));
    this.#socket.on("error", (err) => opts.logger.warn("load-datagrams-failed", { error: err.message }));
    this.#subscription = opts.streams.onDidBegin(() => this.#sendSoon());
  }

  listen(): Promise<void> {
    const { host, port } = this.#opts;
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, resolve);
    });
  }

  /** Sends reports until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const report = Effect.gen({ self: this }, function* () {
      while (true) {
        const hosts = this.#opts.peerHosts();
        this.#send(hosts);
        this.#forwardLimits();
        yield* Effect.sleep(Math.max(MIN_REPORT_INTERVAL_MS, hosts.length * REPORT_INTERVAL_PER_PEER_MS));
      }
    });
    return Effect.asVoid(Effect.forkScoped(report));
  }

  dispose(): void {
    this.#subscription.dispose();
    this.#socket.close();
  }

  /** Sends a report before the next regular one, as the callers of a lost instance return within milliseconds. */
  #sendSoon(): void {
    if (this.#isSendPending) return;
    this.#isSendPending = true;
    setTimeout(() => {
      this.#isSendPending = false;
      this.#send(this.#opts.peerHosts());
    }, STREAM_REPORT_DELAY_MS).unref();
  }

  #send(hosts: readonly string[]): void {
    const localLoads = this.#opts.loads.localLoads();
    const strikeChanges = this.#opts.crashes.recentChanges().map(({ strike, ...change }) =>
      create(StrikeChangeSchema, { strike: toStrikeMessage(strike), ...change })
    );
    const prefixes = this.#opts.caches.takeUnreportedPrefixes().map((prefix) =>
      create(PromptHomeSchema, prefix)
    );
    const streams = this.#opts.streams.recentStreams().map((stream) => create(BegunStreamSchema, stream));
    const leaving = this.#opts.leaving.listRecent().map((run) => create(ServerRunSchema, run));
    const limits = this.#opts.limits.listRecentChanges().map(toLimitMessage);
    const latencySamples = (this.#opts.hedging?.takeUnreportedSamples() ?? []).map((sample) =>
      create(LatencySampleSchema, sample)
    );
    const events = strikeChanges.length + prefixes.length + streams.length + leaving.length + limits.length +
      latencySamples.length;
    const { isCutOff } = this.#opts.links;
    const isIdle = localLoads.size + events === 0 && !isCutOff;
    // One empty report follows the last load, so that peers discard the previous one.
    if (isIdle && !this.#wasBusy) return;
    this.#wasBusy = !isIdle;
    const { instance } = this.#opts;
    const loads = [...localLoads].map(([backendId, running]) => ({ backendId, running }));
    const message = toBinary(
      LoadDigestSchema,
      create(LoadDigestSchema, {
        instance,
        loads,
        strikeChanges,
        prefixes,
        streams,
        leaving,
        limits,
        isCutOff,
        latencySamples,
      }),
    );
    this.#sendTo(hosts, message);
  }

  #forwardLimits(): void {
    for (const { recipients, limits } of this.#opts.limitForwarder.takeDue()) {
      const digest = create(LoadDigestSchema, { limits: limits.map(toLimitMessage) });
      this.#sendTo(recipients, toBinary(LoadDigestSchema, digest));
    }
  }

  #sendTo(hosts: readonly string[], message: Uint8Array): void {
    for (const host of hosts) {
      this.#socket.send(message, this.#opts.port, host, (err) => this.#handleSendResult(err));
    }
  }

  #handleSendResult(err: Error | null): void {
    if (err === null || this.#hasLoggedSendFailure) return;
    this.#hasLoggedSendFailure = true;
    this.#opts.logger.warn("load-datagram-not-sent", { error: err.message });
  }

  #receive(message: Uint8Array, sender: string): void {
    try {
      const digest = fromBinary(LoadDigestSchema, message);
      const { instance, loads, strikeChanges, prefixes, streams, leaving, limits, isCutOff } = digest;
      const running = new Map(loads.map((load) => [load.backendId, load.running]));
      // Forwarded limits come without an instance and its loads.
      if (instance !== "") {
        this.#opts.loads.recordPeerReport({ instance, running });
        this.#opts.instances.recordReport(sender, { isCutOff });
      }
      for (const { strike, isWithdrawn, isPending } of strikeChanges) {
        if (strike !== undefined) this.#opts.crashes.merge({ strike, isWithdrawn, isPending });
      }
      for (const prefix of prefixes) this.#opts.caches.recordReportedPart(prefix);
      for (const stream of streams) this.#opts.streams.add(stream);
      for (const run of leaving) this.#opts.leaving.merge(run);
      this.#opts.hedging?.recordReportedSamples(digest.latencySamples);
      for (const message of limits) {
        const limit = fromLimitMessage(message);
        if (limit !== undefined) this.#opts.limits.merge(limit);
      }
    } catch (err) {
      this.#opts.logger.warn("load-datagram-unreadable", { error: toError(err).message });
    }
  }
}
