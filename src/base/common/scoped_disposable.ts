/** Ties disposable resources to Effect scopes. */
import type { Scope } from "effect";
import { Effect } from "effect";
import type { IDisposable } from "./emitter.ts";

/** Disposes of a resource when the scope closes. */
export function disposeWithScope<T extends IDisposable>(resource: T): Effect.Effect<T, never, Scope.Scope> {
  return Effect.acquireRelease(Effect.succeed(resource), () => Effect.sync(() => resource.dispose()));
}
