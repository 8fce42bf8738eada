/** Whether an engine's cache of a program is worth keeping over the program's next pause. */
import { hash32 } from "../../base/common/hash.ts";
import type { EngineState } from "./engine_state.ts";

/** Decides after each call whether the engine keeps the program's cache. */
export interface IKvKeeper {
  isKept(programId: string, engine: EngineState): boolean;
}

const HASH_RANGE = 2 ** 32;

/**
 * Keeps the caches of a fixed share of the programs while an engine evicts. Engines evict what was used
 * least lately; when more histories come round than fit, that is always the one that is needed next, and
 * no program finds its cache. Giving up some programs' caches at once lets the others keep theirs.
 */
export class ProtectedShareKeeper implements IKvKeeper {
  isKept(programId: string, engine: EngineState): boolean {
    return hash32(programId) / HASH_RANGE < engine.keptShare;
  }
}
