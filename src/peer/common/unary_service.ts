/** Implementation of an RPC service that has only unary methods and uses nothing of a call but its request. */
import type { DescService, MessageInitShape, MessageShape } from "@bufbuild/protobuf";

export type UnaryService<S extends DescService> = {
  readonly [M in keyof S["method"]]: (
    req: MessageShape<S["method"][M]["input"]>,
  ) => MessageInitShape<S["method"][M]["output"]> | Promise<MessageInitShape<S["method"][M]["output"]>>;
};
