/** Connect transport for unary calls in the binary format over HTTP/1.1. */
import type { ClientRequest, IncomingMessage } from "node:http";
import { request } from "node:http";
import { urlToHttpOptions } from "node:url";
import type { DescMessage, DescMethod, DescMethodUnary, MessageInitShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Transport, UnaryResponse } from "@connectrpc/connect";
import { Code, ConnectError } from "@connectrpc/connect";
import {
  codeFromHttpStatus,
  errorFromJsonBytes,
  protocolVersion,
} from "@connectrpc/connect/protocol-connect";
import type { PeerConnections } from "./peer_connections.ts";
import { CONTENT_TYPE_PROTO, readUnaryBody } from "./unary_body.ts";

const OK_STATUS = 200;

export interface IUnaryTransportOptions {
  /** Host and port. */
  readonly address: string;
  readonly connections: PeerConnections;
  readonly maxMessageBytes: number;
  /** Time for which an established connection is kept after its call was aborted. */
  readonly lateResponseTimeoutMs: number;
}

/**
 * The library's transport creates several abort controllers, header objects and async iterators for each call, and writes
 * the head and the body separately. Headers, timeouts and context values of calls are not supported.
 */
export class UnaryTransport implements Transport {
  readonly #opts: IUnaryTransportOptions;
  readonly #host: string | null | undefined;
  readonly #port: string | number | null | undefined;

  constructor(opts: IUnaryTransportOptions) {
    this.#opts = opts;
    const { hostname, port } = urlToHttpOptions(new URL(`http://${opts.address}`));
    this.#host = hostname;
    this.#port = port;
  }

  async unary<I extends DescMessage, O extends DescMessage>(
    method: DescMethodUnary<I, O>,
    signal: AbortSignal | undefined,
    _timeoutMs: number | undefined,
    _header: unknown,
    input: MessageInitShape<I>,
  ): Promise<UnaryResponse<I, O>> {
    const { maxMessageBytes } = this.#opts;
    const body = toBinary(method.input, create(method.input, input));
    if (body.length > maxMessageBytes) {
      throw new ConnectError(`the request exceeds ${maxMessageBytes} bytes`, Code.ResourceExhausted);
    }
    const { res, bytes } = await this.#post(unaryPath(method), { body, signal });
    return {
      stream: false,
      service: method.parent,
      method,
      get header() {
        return new Headers(res.headers as Record<string, string>);
      },
      get trailer() {
        return new Headers();
      },
      message: fromBinary(method.output, readMessage(res, bytes)),
    };
  }

  stream(): Promise<never> {
    return Promise.reject(new ConnectError("streaming calls are not supported", Code.Unimplemented));
  }

  #post(
    path: string,
    { body, signal }: { body: Uint8Array; signal: AbortSignal | undefined },
  ): Promise<{ res: IncomingMessage; bytes: Uint8Array }> {
    const { connections, maxMessageBytes, lateResponseTimeoutMs } = this.#opts;
    return new Promise((resolve, reject) => {
      if (signal?.aborted) return reject(new ConnectError("the call was aborted", Code.Canceled));
      let req: ClientRequest | undefined;
      const abort = () => {
        withdraw();
        if (req !== undefined) abandon(req, lateResponseTimeoutMs);
        reject(new ConnectError("the call was aborted", Code.Canceled));
      };
      const fail = (err: Error) => {
        signal?.removeEventListener("abort", abort);
        req?.destroy();
        reject(err);
      };
      signal?.addEventListener("abort", abort);
      const withdraw = connections.schedule(() => {
        req = this.#send(path, body);
        req.on(
          "error",
          (err) => fail(new ConnectError(err.message, Code.Unavailable, undefined, undefined, err)),
        );
        req.on("response", (res) => {
          readUnaryBody(res, maxMessageBytes).then((bytes) => {
            signal?.removeEventListener("abort", abort);
            resolve({ res, bytes });
          }, fail);
        });
      });
    });
  }

  #send(path: string, body: Uint8Array): ClientRequest {
    const req = request({
      host: this.#host,
      port: this.#port,
      path,
      agent: this.#opts.connections,
      method: "POST",
      headers: {
        "Content-Type": CONTENT_TYPE_PROTO,
        "Content-Length": body.length,
        "Connect-Protocol-Version": protocolVersion,
      },
    });
    req.end(body);
    return req;
  }
}

/** Ends an aborted request. An established connection is kept for a while, as its response may only be late. */
function abandon(req: ClientRequest, timeoutMs: number): void {
  if (req.socket?.connecting !== false) return void req.destroy();
  const timer = setTimeout(() => req.destroy(), timeoutMs).unref();
  req.on("close", () => clearTimeout(timer));
}

/** Path of a method's requests. */
export function unaryPath({ parent, name }: DescMethod): string {
  return `/${parent.typeName}/${name}`;
}

/** Returns the encoded message of a response; throws the error that the response states instead. */
function readMessage({ statusCode = 0, headers }: IncomingMessage, bytes: Uint8Array): Uint8Array {
  const { "content-type": contentType, "content-encoding": encoding = "identity" } = headers;
  if (statusCode !== OK_STATUS) {
    const err = new ConnectError(`HTTP status ${statusCode}`, codeFromHttpStatus(statusCode));
    throw errorFromJsonBytes(bytes, undefined, err);
  }
  if (contentType !== CONTENT_TYPE_PROTO || encoding !== "identity") {
    throw new ConnectError(`unexpected response of type ${contentType}, ${encoding}`, Code.Internal);
  }
  return bytes;
}
