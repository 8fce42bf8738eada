/** Calls to the other instances. */
import type { DescService } from "@bufbuild/protobuf";
import type { Client, Transport } from "@connectrpc/connect";
import { createClient } from "@connectrpc/connect";
import { Effect } from "effect";
import { PeerError, toError } from "../../base/common/errors.ts";
import type { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";

/** Connect client of one peer, for the calls on a program's owner. */
export type PeerClient = Client<typeof PeerService>;

export type PeerClients = ServiceClients<typeof PeerService>;

/** Makes the transport to a peer's address; it owns the connection. */
export interface IPeerTransports {
  get(address: string): Transport;
  /** Drops the connection to an address, so that the next call opens a new one. */
  reset(address: string): void;
}

/** Clients of one service at peers, by address. */
export class ServiceClients<S extends DescService> {
  readonly #service: S;
  readonly #transports: IPeerTransports;
  readonly #clients = new Map<string, Client<S>>();

  constructor(service: S, transports: IPeerTransports) {
    this.#service = service;
    this.#transports = transports;
  }

  get(address: string): Client<S> {
    let client = this.#clients.get(address);
    if (client === undefined) {
      client = createClient(this.#service, this.#transports.get(address));
      this.#clients.set(address, client);
    }
    return client;
  }

  /**
   * Makes one call with a time limit in ms. A call that timed out drops the connection: something
   * between the two ends may have lost track of it while new connections work.
   */
  call<T>(address: string, opts: IPeerCall<S, T>): Effect.Effect<T, PeerError> {
    const attempt = Effect.tryPromise({
      try: (signal) => opts.invoke(this.get(address), signal),
      catch: (err) => new PeerError(`peer ${address} failed`, toError(err)),
    });
    return Effect.timeoutOrElse(attempt, {
      duration: opts.timeoutMs,
      orElse: () =>
        Effect.suspend(() => {
          this.reset(address);
          return Effect.fail(new PeerError(`peer ${address} timed out`));
        }),
    });
  }

  /** Drops the connection to a peer. */
  reset(address: string): void {
    this.#clients.delete(address);
    this.#transports.reset(address);
  }
}

export interface IPeerCall<S extends DescService, T> {
  readonly timeoutMs: number;
  readonly invoke: (client: Client<S>, signal: AbortSignal) => Promise<T>;
}
