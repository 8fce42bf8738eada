/** Gates at the ways out of an instance in tests, closed while it is frozen. */
import { Deferred, Effect } from "effect";

/** Something that can be frozen. */
export interface IFreezable {
  /** Set while it is frozen, and done when it is thawed. */
  frozen: Deferred.Deferred<void> | undefined;
}

/** Waits until the gate is open. */
export function passGate({ frozen }: IFreezable): Promise<void> | void {
  return frozen === undefined ? undefined : Effect.runPromise(Deferred.await(frozen));
}

/** Holds every call of an interface back while the instance is frozen. */
export function gate<T extends object>(self: () => IFreezable, target: T): T {
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
