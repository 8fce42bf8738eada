/** Bytes of any kind at the front: a clear answer or a closed connection, and nobody gets another's answer. */
import type { AddressInfo } from "node:net";
import { connect } from "node:net";
import test from "ava";
import { Context, Effect } from "effect";
import fc from "fast-check";
import type { GatewayRelay } from "../../call/common/gateway_relay.ts";
import type { IAnswerSink, IRawRequest } from "../../call/common/opaque_call.ts";
import { NullLogger } from "../../services/logging/common/logger.ts";
import { GatewayFront } from "./gateway_front.ts";

const RUNS = { seed: 20, numRuns: 150 };
const SMUGGLED = "GET /smuggled HTTP/1.1\r\nHost: h\r\nX-Id: smuggled\r\n\r\n";

/** A front that answers each request with its own id, target and body, and notes what it was asked to run. */
class EchoFront {
  readonly #front: GatewayFront;
  readonly targets: string[] = [];

  constructor() {
    const handle = ({ target, headers, body }: IRawRequest, sink: IAnswerSink) =>
      Effect.sync(() => {
        this.targets.push(target);
        const at = headers.findIndex((name) => name.toLowerCase() === "x-id");
        sink.whole(200, ["X-Id", at < 0 ? "" : headers[at + 1]], body);
      });
    const relay = { handle } as unknown as GatewayRelay;
    this.#front = new GatewayFront({ relay, logger: new NullLogger(), context: Context.empty() });
  }

  listen(): Promise<void> {
    return this.#front.listen({ host: "127.0.0.1", port: 0 });
  }

  dispose(): void {
    this.#front.dispose();
  }

  /** Sends bytes on a connection of their own, and returns all that comes back until it closes. */
  send(bytes: Uint8Array): Promise<string> {
    const { port } = this.#front.address as AddressInfo;
    return new Promise((resolve) => {
      let text = "";
      const socket = connect(port, "127.0.0.1", () => socket.end(bytes));
      socket.on("data", (chunk) => text += chunk.toString("latin1"));
      socket.on("error", () => {});
      socket.on("close", () => resolve(text));
    });
  }
}

interface IAnswer {
  readonly status: number;
  readonly id: string | undefined;
  readonly body: string;
}

/** Whole answers in a text; throws at bytes that are none. */
function readAnswers(text: string): IAnswer[] {
  const answers: IAnswer[] = [];
  let rest = text;
  while (rest !== "") {
    const end = rest.indexOf("\r\n\r\n");
    const head = rest.slice(0, end);
    const status = /^HTTP\/1\.1 (\d{3}) /.exec(head);
    if (end < 0 || status === null) throw new Error(`no answer: ${rest.slice(0, 80)}`);
    const length = Number(/^content-length: (\d+)$/im.exec(head)?.[1] ?? 0);
    const body = rest.slice(end + 4, end + 4 + length);
    answers.push({ status: Number(status[1]), id: /^x-id: (.*)$/im.exec(head)?.[1], body });
    rest = rest.slice(end + 4 + length);
  }
  return answers;
}

function requestOf(id: string, { body, isChunked }: { body: string; isChunked: boolean }): string {
  const head = `POST /r/${id} HTTP/1.1\r\nHost: h\r\nX-Id: ${id}\r\n`;
  if (!isChunked) return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  const chunk = body === "" ? "" : `${body.length.toString(16)}\r\n${body}\r\n`;
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`;
}

const BODY = fc.oneof(
  fc.stringMatching(/^[a-z0-9 ]{0,60}$/),
  fc.constant(SMUGGLED),
  fc.constant("x".repeat(70_000)),
);
const REQUESTS = fc.array(fc.record({ body: BODY, isChunked: fc.boolean() }), { minLength: 1, maxLength: 4 });

test("pipelined requests each get their own answer, in order, whatever their bodies hold", async (t) => {
  const front = new EchoFront();
  await front.listen();
  await fc.assert(
    fc.asyncProperty(REQUESTS, async (requests) => {
      const bytes = requests.map((req, at) => requestOf(String(at), req)).join("");
      const answers = readAnswers(await front.send(Buffer.from(bytes, "latin1")));
      const expected = requests.map(({ body }, at) => ({ status: 200, id: String(at), body }));
      return JSON.stringify(answers) === JSON.stringify(expected);
    }),
    RUNS,
  );
  t.false(front.targets.includes("/smuggled"));
  front.dispose();
});

test("spoiled bytes get an error or a closed connection, and no other request's answer", async (t) => {
  const front = new EchoFront();
  await front.listen();
  const spoil = fc.record({
    requests: REQUESTS,
    at: fc.double({ min: 0, max: 1, noNaN: true }),
    cut: fc.nat(40),
    foreign: fc.uint8Array({ maxLength: 40 }),
    isRepeated: fc.boolean(),
  });
  await fc.assert(
    fc.asyncProperty(spoil, async ({ requests, at, cut, foreign, isRepeated }) => {
      const whole = Buffer.from(requests.map((req, id) => requestOf(String(id), req)).join(""), "latin1");
      const place = Math.floor(at * whole.length);
      const end = isRepeated ? whole.subarray(Math.max(0, place - cut)) : whole.subarray(place + cut);
      const text = await front.send(Buffer.concat([whole.subarray(0, place), foreign, end]));
      // Requests that end before the spoiled place are answered as if nothing were wrong.
      let sound = 0;
      for (let bytes = 0; sound < requests.length; sound++) {
        bytes += Buffer.byteLength(requestOf(String(sound), requests[sound]), "latin1");
        if (bytes > place) break;
      }
      const answers = readAnswers(text);
      return answers.slice(0, sound).every(({ status, id, body }, index) =>
        status === 200 && id === String(index) && body === requests[index].body
      );
    }),
    RUNS,
  );
  const after = readAnswers(
    await front.send(Buffer.from(requestOf("after", { body: "b", isChunked: false }))),
  );
  t.deepEqual(after, [{ status: 200, id: "after", body: "b" }]);
  front.dispose();
});

test("a request whose length can be read in two ways runs nothing that it holds", async (t) => {
  const lengths = [
    `Content-Length: ${SMUGGLED.length}\r\nTransfer-Encoding: chunked\r\n`,
    `Content-Length: 0\r\nContent-Length: ${SMUGGLED.length}\r\n`,
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Content-Length: +0\r\n",
    "Content-Length: 0x0\r\n",
    "Transfer-Encoding: xchunked\r\n",
  ];
  for (const length of lengths) {
    const front = new EchoFront();
    await front.listen();
    const head = `POST /outer HTTP/1.1\r\nHost: h\r\nX-Id: outer\r\n${length}\r\n`;
    await front.send(Buffer.from(`${head}0\r\n\r\n${SMUGGLED}`, "latin1"));
    t.false(front.targets.includes("/smuggled"), length);
    front.dispose();
  }
});
