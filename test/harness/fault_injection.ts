/** Fault injection for the outgoing interfaces of an instance: freezing, delays and disconnection. */
import type { Transport } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import { Deferred, Effect } from "effect";
import { PlatformError } from "../../src/base/common/errors.ts";
import type { IPeerTransports } from "../../src/membership/common/peer_client.ts";
import type { ILogService } from "../../src/services/log/common/log_service.ts";

const REFUSED = Object.assign(new Error("connection refused"), { code: "ECONNREFUSED" });

/** Faults currently injected into an instance. */
export interface IFaultState {
  /** Set while the instance is frozen; completed when it is thawed. */
  frozen: Deferred.Deferred<void> | undefined;
  /** Transport to the instance's peer service. */
  readonly transport: Transport;
  isKilled: boolean;
  isLogDisconnected: boolean;
  /** Delay added to reads of the log, in ms. */
  logReadDelayMs: number;
  /** Whether the instance and its peers cannot reach each other. */
  isPeerDisconnected: boolean;
}

function waitUntilThawed({ frozen }: IFaultState): Promise<void> | void {
  return frozen === undefined ? undefined : Effect.runPromise(Deferred.await(frozen));
}

/** Wraps an interface so that its calls wait while the instance is frozen. */
export function holdWhileFrozen<T extends object>(self: () => IFaultState, target: T): T {
  return new Proxy(target, {
    get(object, name) {
      const member = Reflect.get(object, name) as unknown;
      if (typeof member !== "function") return member;
      return (...args: unknown[]) =>
        Effect.suspend(() => {
          const work = () => member.apply(object, args) as Effect.Effect<unknown, unknown>;
          const { frozen } = self();
          return frozen === undefined ? work() : Effect.flatMap(Deferred.await(frozen), work);
        });
    },
  });
}

/** Wraps the log service with the faults of the instance that uses it. */
export function withLogFaults(self: () => IFaultState, log: ILogService): ILogService {
  const wrapped = holdWhileFrozen(self, log);
  const unlessDisconnected = <A>(work: () => Effect.Effect<A, PlatformError>) =>
    Effect.suspend(() =>
      self().isLogDisconnected ? Effect.fail(new PlatformError("log service unreachable")) : work()
    );
  return {
    append: (stream, data) => unlessDisconnected(() => wrapped.append(stream, data)),
    read: (stream, opts) =>
      unlessDisconnected(() =>
        Effect.tap(wrapped.read(stream, opts), () => Effect.sleep(self().logReadDelayMs))
      ),
  };
}

/** Returns transports to the peers of an instance, subject to the faults of both sides. */
export function withPeerFaults(
  self: () => IFaultState,
  findPeer: (address: string) => IFaultState | undefined,
): IPeerTransports {
  const connect = async (address: string): Promise<Transport> => {
    await waitUntilThawed(self());
    const target = findPeer(address);
    if (target === undefined || target.isKilled) {
      throw new ConnectError("connection refused", Code.Unavailable, {}, [], REFUSED);
    }
    if (self().isKilled || target.isPeerDisconnected || self().isPeerDisconnected) {
      throw new ConnectError("peer unreachable");
    }
    await waitUntilThawed(target);
    return target.transport;
  };
  return {
    get: (address) => ({
      unary: async (...args) => (await connect(address)).unary(...args),
      stream: async (...args) => (await connect(address)).stream(...args),
    }),
    reset: () => {},
  };
}
