/** The log service, through a peer when this instance alone cannot reach it. */
import type { Scope } from "effect";
import { Effect } from "effect";
import { PlatformError } from "../../base/common/errors.ts";
import type { ILogPage, ILogReadOptions, ILogService } from "../../services/log/common/log_service.ts";
import { JOURNAL_STREAM } from "../../services/log/common/log_service.ts";
import type { PeerClients } from "./peer_client.ts";

/** Time between two probes of the direct way after it failed. */
const PROBE_INTERVAL_MS = 1000;
const RELAY_TIMEOUT_MS = 1500;
/** Peers that are asked for one request. */
const MAX_RELAYS = 2;

export interface IRelayedLogOptions {
  readonly direct: ILogService;
  readonly peers: PeerClients;
  /** Addresses of peers that say they reach the log service. */
  readonly relays: () => readonly string[];
}

export class RelayedLogService implements ILogService {
  readonly #opts: IRelayedLogOptions;
  #isDirect = true;

  constructor(opts: IRelayedLogOptions) {
    this.#opts = opts;
  }

  /** Probes the direct way while it is out, until the scope ends. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    const probe = Effect.gen({ self: this }, function* () {
      while (true) {
        yield* Effect.sleep(PROBE_INTERVAL_MS);
        if (!this.#isDirect) yield* this.#tryDirect(this.#opts.direct.read(JOURNAL_STREAM, PROBE));
      }
    });
    return Effect.asVoid(Effect.forkScoped(probe));
  }

  /** Whether the last direct request succeeded. */
  get isDirect(): boolean {
    return this.#isDirect;
  }

  append(stream: string, data: Uint8Array): Effect.Effect<number, PlatformError> {
    return this.#route(this.#opts.direct.append(stream, data), (address) =>
      Effect.flatMap(
        this.#opts.peers.call(address, {
          timeoutMs: RELAY_TIMEOUT_MS,
          invoke: (client, signal) => client.relayAppend({ stream, data: new Uint8Array(data) }, { signal }),
        }),
        ({ offset, unavailable }) => unavailable ? Effect.fail(relayFailed()) : Effect.succeed(offset),
      ));
  }

  read(stream: string, opts: ILogReadOptions): Effect.Effect<ILogPage, PlatformError> {
    return this.#route(this.#opts.direct.read(stream, opts), (address) =>
      Effect.flatMap(
        this.#opts.peers.call(address, {
          timeoutMs: RELAY_TIMEOUT_MS + opts.waitMs,
          invoke: (client, signal) => client.relayRead({ stream, ...opts }, { signal }),
        }),
        (page) => page.unavailable ? Effect.fail(relayFailed()) : Effect.succeed(page as ILogPage),
      ));
  }

  #route<A, E>(
    direct: Effect.Effect<A, PlatformError>,
    viaPeer: (address: string) => Effect.Effect<A, E>,
  ): Effect.Effect<A, PlatformError> {
    return Effect.gen({ self: this }, function* () {
      const relays = this.#opts.relays().slice(0, MAX_RELAYS);
      if (this.#isDirect || relays.length === 0) {
        const answer = yield* this.#tryDirect(direct);
        if (answer !== undefined) return answer;
      }
      for (const address of relays) {
        const answer = yield* Effect.catch(viaPeer(address), () => Effect.succeed(undefined));
        if (answer !== undefined) return answer;
      }
      return yield* Effect.fail(new PlatformError("the log service cannot be reached, nor through a peer"));
    });
  }

  #tryDirect<A>(direct: Effect.Effect<A, PlatformError>): Effect.Effect<A | undefined> {
    return Effect.map(Effect.catch(direct, () => Effect.succeed(undefined)), (answer) => {
      this.#isDirect = answer !== undefined;
      return answer;
    });
  }
}

/** A read that only shows whether the log service answers. */
const PROBE: ILogReadOptions = { from: 0, limit: 1, waitMs: 0 };

function relayFailed(): PlatformError {
  return new PlatformError("the peer cannot reach the log service either");
}
