/** Tells the other instances by datagrams of the load on backend servers, of what engines have read, and of crashes. */
import type { Socket } from "node:dgram";
import { createSocket } from "node:dgram";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Scope } from "effect";
import { Effect } from "effect";
import { toError } from "../../base/common/errors.ts";
import {
  CrashStrikeSchema,
  LoadDigestSchema,
  PromptHomeSchema,
} from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { CrashStrikes } from "../../call/common/crash_strikes.ts";
import type { BackendLoads } from "../../routing/common/backend_loads.ts";
import type { PromptCacheMap } from "../../routing/common/prompt_cache_map.ts";
import type { ILogger } from "../../services/logging/common/logger.ts";

/** Least time between two reports, in ms: a fraction of the time that a request takes. */
const MIN_INTERVAL_MS = 100;
/** What a peer adds to the time between two reports, in ms: bounds what an instance receives to 125 a second. */
const INTERVAL_PER_PEER_MS = 8;

export interface ILoadDatagramsOptions {
  readonly instance: string;
  readonly host: string;
  /** The same on all instances. */
  readonly port: number;
  readonly loads: BackendLoads;
  readonly caches: PromptCacheMap;
  readonly strikes: CrashStrikes;
  /** Hosts of the other instances. */
  readonly peerHosts: () => readonly string[];
  readonly logger: ILogger;
}

export class LoadDatagrams {
  readonly #opts: ILoadDatagramsOptions;
  readonly #socket: Socket;
  #hadLoad = false;
  #hasFailed = false;

  constructor(opts: ILoadDatagramsOptions) {
    this.#opts = opts;
    this.#socket = createSocket("udp4");
    this.#socket.on("message", (message) => this.#receive(message));
    this.#socket.on("error", (err) => opts.logger.warn("load-datagrams-failed", { error: err.message }));
  }

  listen(): Promise<void> {
    const { host, port } = this.#opts;
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(port, host, resolve);
    });
  }

  /** Reports until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const report = Effect.gen({ self: this }, function* () {
      while (true) {
        const hosts = this.#opts.peerHosts();
        this.#send(hosts);
        yield* Effect.sleep(Math.max(MIN_INTERVAL_MS, hosts.length * INTERVAL_PER_PEER_MS));
      }
    });
    return Effect.asVoid(Effect.forkScoped(report));
  }

  dispose(): void {
    this.#socket.close();
  }

  #send(hosts: readonly string[]): void {
    const own = this.#opts.loads.own();
    const strikes = this.#opts.strikes.own().map((strike) => create(CrashStrikeSchema, strike));
    const prefixes = this.#opts.caches.takePrefixes().map((prefix) => create(PromptHomeSchema, prefix));
    const isIdle = own.size === 0 && strikes.length === 0 && prefixes.length === 0;
    if (isIdle && !this.#hadLoad) return;
    this.#hadLoad = !isIdle;
    const { instance } = this.#opts;
    const loads = [...own].map(([backendId, running]) => ({ backendId, running }));
    const message = toBinary(
      LoadDigestSchema,
      create(LoadDigestSchema, { instance, loads, strikes, prefixes }),
    );
    for (const host of hosts) this.#socket.send(message, this.#opts.port, host, (err) => this.#noteSent(err));
  }

  #noteSent(err: Error | null): void {
    if (err === null || this.#hasFailed) return;
    this.#hasFailed = true;
    this.#opts.logger.warn("load-datagram-not-sent", { error: err.message });
  }

  #receive(message: Uint8Array): void {
    try {
      const { instance, loads, strikes, prefixes } = fromBinary(LoadDigestSchema, message);
      const running = new Map(loads.map((load) => [load.backendId, load.running]));
      this.#opts.loads.noteReport({ instance, running });
      this.#opts.strikes.noteReport(instance, strikes);
      for (const prefix of prefixes) this.#opts.caches.hear(prefix);
    } catch (err) {
      this.#opts.logger.warn("load-datagram-unreadable", { error: toError(err).message });
    }
  }
}
