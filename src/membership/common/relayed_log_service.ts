/** Accesses the log service, relaying requests through peers while it cannot be reached directly. */
import type { Scope } from "effect";
import { Effect } from "effect";
import { PlatformError } from "../../base/common/errors.ts";
import type { ILogPage, ILogReadOptions, ILogService } from "../../services/log/common/log_service.ts";
import { JOURNAL_STREAM } from "../../services/log/common/log_service.ts";
import type { PeerClients } from "./peer_client.ts";

/** Interval between probes of the log service after a direct request failed. */
const PROBE_INTERVAL_MS = 1000;
const RELAY_TIMEOUT_MS = 1500;
/** Maximum number of peers tried for one request. */
const MAX_RELAY_ATTEMPTS = 2;

export interface IRelayedLogServiceOptions {
  readonly direct: ILogService;
  readonly peers: PeerClients;
  /** Addresses of the peers that report that they reach the log service directly. */
  readonly relayAddresses: () => readonly string[];
}

export class RelayedLogService implements ILogService {
  readonly #opts: IRelayedLogServiceOptions;
  #isDirectlyReachable = true;

  constructor(opts: IRelayedLogServiceOptions) {
    this.#opts = opts;
  }

  /** Probes the log service after direct requests have failed, until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const probe = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(PROBE_INTERVAL_MS);
        if (!this.#isDirectlyReachable) {
          yield* this.#tryDirect(this.#opts.direct.read(JOURNAL_STREAM, PROBE_READ));
        }
      }
    });
    return Effect.asVoid(Effect.forkScoped(probe));
  }

  /** Whether the last direct request succeeded. */
  get isDirectlyReachable(): boolean {
    return this.#isDirectlyReachable;
  }

  append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    return this.#request(this.#opts.direct.append(stream, data), (address) =>
      Effect.flatMap(
        this.#opts.peers.call(address, {
          timeoutMs: RELAY_TIMEOUT_MS,
          invoke: (client, signal) => client.relayAppend({ stream, data: new Uint8Array(data) }, { signal }),
        }),
        ({ offset, unavailable }) => unavailable ? Effect.fail(relayError()) : Effect.succeed(offset),
      ));
  }

  read(stream: string, opts: ILogReadOptions): Effect.Effect<ILogPage, PlatformError> {
    return this.#request(this.#opts.direct.read(stream, opts), (address) =>
      Effect.flatMap(
        this.#opts.peers.call(address, {
          timeoutMs: RELAY_TIMEOUT_MS + opts.waitMs,
          invoke: (client, signal) => client.relayRead({ stream, ...opts }, { signal }),
        }),
        (page) => page.unavailable ? Effect.fail(relayError()) : Effect.succeed(page as ILogPage),
      ));
  }

  #request<A, E>(
    direct: Effect.Effect<A, PlatformError>,
    relay: (address: string) => Effect.Effect<A, E>,
  ): Effect.Effect<A, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      const relays = this.#opts.relayAddresses().slice(0, MAX_RELAY_ATTEMPTS);
      if (this.#isDirectlyReachable || relays.length === 0) {
        const response = yield* this.#tryDirect(direct);
        if (response !== undefined) return response;
      }
      for (const address of relays) {
        const response = yield* Effect.catch(relay(address), () => Effect.succeed(undefined));
        if (response !== undefined) return response;
      }
      return yield* Effect.fail(new PlatformError("log service unreachable both directly and through peers"));
    });
  }

  /** Returns undefined if the request fails. */
  #tryDirect<A>(direct: Effect.Effect<A, PlatformError>): Effect.Effect<A | undefined> {
    return Effect.map(Effect.catch(direct, () => Effect.succeed(undefined)), (response) => {
      this.#isDirectlyReachable = response !== undefined;
      return response;
    });
  }
}

/** Smallest possible read, used to check whether the log service responds. */
const PROBE_READ: ILogReadOptions = { from: 0, limit: 1, waitMs: 0 };

function relayError(): PlatformError {
  return new PlatformError("peer cannot reach the log service");
}
