/** Converts a strike to its message, which is reported to other instances and kept in the store. */
import { create } from "@bufbuild/protobuf";
import type { Strike } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import { StrikeKeySchema, StrikeSchema } from "../../base/common/gen/ragwortcleat/v1/turns_pb.ts";
import type { IStrike } from "./strike_ledger.ts";

export function toStrikeMessage({ keys = [], ...strike }: IStrike): Strike {
  return create(StrikeSchema, { ...strike, keys: keys.map((key) => create(StrikeKeySchema, key)) });
}
