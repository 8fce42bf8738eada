/** Sends opaque requests to backend servers over pooled HTTP/1.1 connections. */
import type { IncomingMessage } from "node:http";
import { request } from "node:http";
import { Effect } from "effect";
import { toError } from "../../base/common/errors.ts";
import { GuardedAgent } from "../../base/node/guarded_agent.ts";
import type { IBackendEntry } from "../../services/backends/common/backend_directory.ts";
import type {
  IAnswerBody,
  ICallCodec,
  IUpstream,
  IUpstreamAnswer,
  IUpstreamRequest,
} from "../common/opaque_call.ts";
import { UpstreamError, UpstreamFault } from "../common/opaque_call.ts";

/** Time for a new connection, in ms: a live server takes a few. */
const CONNECT_TIMEOUT_MS = 500;
/** Interval of keep-alive probes on idle connections, in ms. */
const KEEP_ALIVE_PROBE_MS = 1000;

export class HttpUpstream implements IUpstream {
  readonly #codec: ICallCodec;
  readonly #agents = new Map<string, GuardedAgent>();

  constructor(codec: ICallCodec) {
    this.#codec = codec;
  }

  send(backend: IBackendEntry, req: IUpstreamRequest): Effect.Effect<IUpstreamAnswer, UpstreamError> {
    return Effect.callback<IUpstreamAnswer, UpstreamError>((resume) => {
      let fault = UpstreamFault.NotSent;
      const fail = (err: unknown) => resume(Effect.fail(new UpstreamError(fault, toError(err))));
      const out = request({
        host: backend.host,
        port: backend.port,
        method: req.method,
        path: req.target,
        headers: req.headers as string[],
        agent: this.#agentOf(backend),
      });
      const connecting = setTimeout(() => out.destroy(new Error("connect timed out")), CONNECT_TIMEOUT_MS);
      const noteConnected = () => {
        fault = UpstreamFault.Broken;
        clearTimeout(connecting);
      };
      out.on(
        "socket",
        (socket) => socket.connecting ? socket.once("connect", noteConnected) : noteConnected(),
      );
      out.on("error", (err) => {
        clearTimeout(connecting);
        fail(err);
      });
      out.on("response", (res) => {
        const head = this.#codec.readAnswer(res.statusCode ?? 0, res.rawHeaders);
        if (head.requestId !== undefined && head.requestId !== req.requestId) {
          out.destroy();
          fail(new Error("answer to another request"));
          return;
        }
        resume(Effect.succeed({ head, body: new HttpAnswerBody(res) }));
      });
      out.end(req.body);
      return Effect.sync(() => {
        clearTimeout(connecting);
        out.destroy();
      });
    });
  }

  /** Ends the idle connections to a server that is listed no longer; what it still runs goes on. */
  forget({ id }: IBackendEntry): void {
    this.#agents.get(id)?.retire();
    this.#agents.delete(id);
  }

  dispose(): void {
    for (const agent of this.#agents.values()) agent.destroy();
    this.#agents.clear();
  }

  #agentOf({ id }: IBackendEntry): GuardedAgent {
    let agent = this.#agents.get(id);
    if (agent === undefined) {
      agent = new GuardedAgent({ keepAliveMsecs: KEEP_ALIVE_PROBE_MS });
      this.#agents.set(id, agent);
    }
    return agent;
  }
}

class HttpAnswerBody implements IAnswerBody {
  readonly #res: IncomingMessage;

  constructor(res: IncomingMessage) {
    this.#res = res;
    // Without a listener, a connection that breaks before the body is read would end the process.
    res.on("error", () => {});
  }

  read(onChunk: (chunk: Uint8Array) => void): Effect.Effect<void, UpstreamError> {
    return Effect.callback<void, UpstreamError>((resume) => {
      const res = this.#res;
      const fail = (err?: Error) => resume(Effect.fail(new UpstreamError(UpstreamFault.Broken, err)));
      res.on("data", onChunk);
      res.on("end", () => res.complete ? resume(Effect.void) : fail());
      res.on("error", fail);
      res.on("close", () => fail());
      if (res.destroyed && !res.readableEnded) fail();
      return Effect.sync(() => res.destroy());
    });
  }

  drain(): void {
    this.#res.resume();
  }

  discard(): void {
    this.#res.destroy();
  }
}
