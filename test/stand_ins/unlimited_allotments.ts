/** Allotments of organisations of which none is limited. */
import { Effect } from "effect";
import type { IAllotmentClient } from "../../src/call/common/allotment_client.ts";

export const UNLIMITED_ALLOTMENTS: IAllotmentClient = {
  acquire: () => Effect.succeed(undefined),
  giveBack: () => {},
  isLow: () => false,
};
