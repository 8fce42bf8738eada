import type { AddressInfo, Socket } from "node:net";
import { connect } from "node:net";
import { createServer } from "node:http";
import { spawnSync } from "node:child_process";
import process from "node:process";
import test from "ava";
import { closeGracefully } from "./graceful_close.ts";

const REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

function nextData(socket: Socket): Promise<string> {
  return new Promise((resolve) => socket.once("data", (chunk) => resolve(String(chunk))));
}

test("a request that has arrived on a connection that looks idle is still answered", async (t) => {
  const server = createServer((_req, res) => res.end("answer"));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.write(REQUEST);
  await nextData(socket);
  socket.on("error", () => {});
  const second = nextData(socket);
  const closed = new Promise((resolve) => socket.once("close", () => resolve("closed without an answer")));
  socket.write(REQUEST);
  // The event loop stands still until the bytes have surely arrived.
  spawnSync(process.execPath, ["--version"]);
  closeGracefully(server);
  t.regex(String(await Promise.race([second, closed])), /answer$/);
  socket.destroy();
});

test("an idle connection is ended", async (t) => {
  const server = createServer((_req, res) => res.end("answer"));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
  socket.write(REQUEST);
  await nextData(socket);
  const closed = new Promise<void>((resolve) => socket.once("close", () => resolve()));
  closeGracefully(server);
  await closed;
  t.pass();
});
