/** Gates at the ways out of an instance in tests, closed while it is frozen. */
import type { Transport } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import { Deferred, Effect } from "effect";
import { PlatformError } from "../../src/base/common/errors.ts";
import type { IPeerTransports } from "../../src/membership/common/peer_client.ts";
import type { ILogService } from "../../src/services/log/common/log_service.ts";

const REFUSED = Object.assign(new Error("refused"), { code: "ECONNREFUSED" });

/** State of an instance's ways in and out. */
export interface IGated {
  /** Set while the instance is frozen, and done when it is thawed. */
  frozen: Deferred.Deferred<void> | undefined;
  /** Leads to the instance's peer service. */
  readonly transport: Transport;
  isDead: boolean;
  isLogCut: boolean;
  /** Time by which the answers to reads of the log come late, in ms. */
  logReadDelayMs: number;
  /** Whether the instance and its peers do not reach each other. */
  isPeerCut: boolean;
}

/** Waits until the gate is open. */
function passGate({ frozen }: IGated): Promise<void> | void {
  return frozen === undefined ? undefined : Effect.runPromise(Deferred.await(frozen));
}

/** Holds every call of an interface back while the instance is frozen. */
export function gate<T extends object>(self: () => IGated, target: T): T {
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

/** The log service as one instance reaches it. */
export function gateLog(self: () => IGated, log: ILogService): ILogService {
  const gated = gate(self, log);
  const pass = <A>(work: () => Effect.Effect<A, PlatformError>) =>
    Effect.suspend(() => self().isLogCut ? Effect.fail(new PlatformError("cut")) : work());
  return {
    append: (stream, data) => pass(() => gated.append(stream, data)),
    read: (stream, opts) =>
      pass(() => Effect.tap(gated.read(stream, opts), () => Effect.sleep(self().logReadDelayMs))),
  };
}

/** The peers as one instance reaches them. */
export function gateTransports(
  self: () => IGated,
  find: (address: string) => IGated | undefined,
): IPeerTransports {
  const reach = async (address: string): Promise<Transport> => {
    await passGate(self());
    const target = find(address);
    if (target === undefined || target.isDead) {
      throw new ConnectError("refused", Code.Unavailable, {}, [], REFUSED);
    }
    if (self().isDead || target.isPeerCut || self().isPeerCut) throw new ConnectError("unreachable");
    await passGate(target);
    return target.transport;
  };
  return {
    get: (address) => ({
      unary: async (...args) => (await reach(address)).unary(...args),
      stream: async (...args) => (await reach(address)).stream(...args),
    }),
    reset: () => {},
  };
}
