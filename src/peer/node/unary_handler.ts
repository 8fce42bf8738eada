/** Serves unary calls of the Connect protocol in the binary format over HTTP/1.1. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { DescMessage, DescService, MessageInitShape, MessageShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { codeToHttpStatus, errorToJsonBytes } from "@connectrpc/connect/protocol-connect";
import { toError } from "../../base/common/errors.ts";
import type { UnaryService } from "../common/unary_service.ts";
import type { Exchange } from "../../services/connections/node/connection_guard.ts";
import { CONTENT_TYPE_PROTO } from "./unary_body.ts";
import { unaryPath } from "./unary_transport.ts";

const OK_STATUS = 200;
const CONTENT_TYPE_JSON = "application/json";
/** Headers of requests that need more of the protocol than this handler implements. */
const UNSUPPORTED_HEADERS = ["content-encoding", "connect-timeout-ms"];

export interface IUnaryHandlerOptions<S extends DescService> {
  readonly service: S;
  readonly implementation: UnaryService<S>;
}

type UnaryMethod = (
  req: MessageShape<DescMessage>,
) => MessageInitShape<DescMessage> | Promise<MessageInitShape<DescMessage>>;
type Call = (body: Uint8Array) => Promise<Uint8Array>;

export class UnaryHandler<S extends DescService> {
  /** Calls by the path of their requests. */
  readonly #calls: ReadonlyMap<string, Call>;

  constructor({ service, implementation }: IUnaryHandlerOptions<S>) {
    const calls = new Map<string, Call>();
    for (const method of service.methods) {
      if (method.methodKind !== "unary") continue;
      const invoke = implementation[method.localName as keyof S["method"]] as unknown as UnaryMethod;
      calls.set(unaryPath(method), async (body) => {
        const res = await invoke(fromBinary(method.input, body));
        return toBinary(method.output, create(method.output, res));
      });
    }
    this.#calls = calls;
  }

  /** Whether a request is a call in the binary format that is neither compressed nor has a deadline. */
  accepts({ method, url = "", headers }: IncomingMessage): boolean {
    return method === "POST" && headers["content-type"] === CONTENT_TYPE_PROTO && this.#calls.has(url) &&
      UNSUPPORTED_HEADERS.every((name) => headers[name] === undefined);
  }

  /** The peer may close the connection before the response; it then repeats the call. */
  handle({ req, res }: Pick<Exchange, "req" | "res">, body: Uint8Array): void {
    this.#calls.get(req.url!)!(body)
      .then(
        (body) => respond(res, { status: OK_STATUS, type: CONTENT_TYPE_PROTO, body }),
        (err) => respondError(res, err),
      );
  }
}

interface IUnaryResponse {
  readonly status: number;
  readonly type: string;
  readonly body: Uint8Array;
}

function respond(res: ServerResponse, { status, type, body }: IUnaryResponse): void {
  if (res.destroyed) return;
  res.writeHead(status, { "Content-Type": type, "Content-Length": body.length });
  res.end(body);
}

function respondError(res: ServerResponse, err: unknown): void {
  const error = err instanceof ConnectError
    ? err
    : new ConnectError("internal error", Code.Internal, undefined, undefined, toError(err));
  const { status, body } = toRefusal(error);
  respond(res, { status, type: CONTENT_TYPE_JSON, body });
}

/** Returns the response that states an error. */
export function toRefusal(err: ConnectError) {
  const body = errorToJsonBytes(err, undefined);
  return { status: codeToHttpStatus(err.code), headers: { "content-type": CONTENT_TYPE_JSON }, body };
}
