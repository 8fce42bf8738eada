/** Permits for servers of which none states a limit. */
import { Effect } from "effect";
import type { IPermitClient } from "../../src/call/common/permit_client.ts";

export const UNLIMITED_PERMITS: IPermitClient = {
  acquire: () => Effect.succeed({ isGranted: true, waitMs: 0 }),
  awaitValid: () => Effect.succeed(true),
  isExhausted: () => false,
};
