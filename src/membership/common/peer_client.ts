/** Clients for calls to the other instances. */
import type { DescService } from "@bufbuild/protobuf";
import type { Client, Transport } from "@connectrpc/connect";
import { createClient } from "@connectrpc/connect";
import { Effect } from "effect";
import { PeerError, toError } from "../../base/common/errors.ts";
import type { PeerService } from "../../base/common/gen/ragwortcleat/v1/peer_pb.ts";

/** Time limit from which a call without a response shows that its connection may be lost, and not only that it was slow. */
const MIN_LOSS_TIMEOUT_MS = 200;

/** Connect client for the peer service of one instance. */
export type PeerClient = Client<typeof PeerService>;

export type PeerClients = PeerRpcClients<typeof PeerService>;

/** Provides the transport for each peer address. A transport owns its connection. */
export interface IPeerTransports {
  get(address: string): Transport;
  /** Closes the connections to an address that carry no call and may be lost, so that the next call opens a new one. */
  reset(address: string): void;
}

/** Clients of one RPC service on the other instances, cached by peer address. */
export class PeerRpcClients<S extends DescService> {
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
   * Makes one call with a timeout. A call that times out, unless it had little time, closes unused connections that may be lost:
   * an intermediary between the two ends may have dropped its state for them while new connections still work.
   */
  call<T>(address: string, opts: IPeerCall<S, T>): Effect.Effect<T, PeerError> {
    const attempt = Effect.tryPromise({
      try: (signal) => opts.invoke(this.get(address), signal),
      catch: (err) => new PeerError(`call to peer ${address} failed`, toError(err)),
    });
    return Effect.timeoutOrElse(attempt, {
      duration: opts.timeoutMs,
      orElse: () =>
        Effect.suspend(() => {
          if (opts.timeoutMs >= MIN_LOSS_TIMEOUT_MS) this.reset(address);
          return Effect.fail(new PeerError(`call to peer ${address} timed out after ${opts.timeoutMs} ms`));
        }),
    });
  }

  /** Closes the unused connections to a peer and discards its client. */
  reset(address: string): void {
    this.#clients.delete(address);
    this.#transports.reset(address);
  }
}

export interface IPeerCall<S extends DescService, T> {
  readonly timeoutMs: number;
  /** Makes the call. The signal is aborted when the call times out or its fiber is interrupted. */
  readonly invoke: (client: Client<S>, signal: AbortSignal) => Promise<T>;
}
