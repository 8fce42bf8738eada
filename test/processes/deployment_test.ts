/** Tests with real processes over loopback: three instances, two engines and two servers of one service. */
import { execFile } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { promisify } from "node:util";
import process from "node:process";
import test from "ava";
import { CallerObservations, ProgramCaller } from "../harness/caller.ts";
import type { IDaemonProcess } from "../harness/processes.ts";
import { apiKeyOf, Deployment, OPERATOR_KEY, sleep, waitForExit } from "../harness/processes.ts";
import { TEST_CONFIGURATION } from "../harness/configuration.ts";
import { expectedAnswerTokens } from "../stand_ins/engine_core.ts";

const CLI = new URL("../../src/cli/main.js", import.meta.url).pathname;
const run = promisify(execFile);

const deployment = new Deployment({
  region: "test",
  zones: ["zone-a", "zone-b", "zone-c"],
  daemons: 3,
  engines: { count: 2, models: "m" },
  services: { count: 2, name: "api" },
  customers: ["c", "other"],
  configuration: JSON.stringify(TEST_CONFIGURATION),
});

test.before(() => deployment.start());
test.afterEach.always((t) => {
  if (!t.passed) deployment.keepFiles();
});
test.after.always(() => deployment.stop());

interface IProblem {
  readonly title: string;
  readonly ran: string;
  readonly detail: string;
}

async function request(
  path: string,
  opts: {
    method?: string;
    body?: string;
    headers?: Record<string, string>;
    customer?: string;
    daemon?: IDaemonProcess;
  } = {},
): Promise<{ status: number; type: string | null; body: IProblem & { id: string; next_step: number } }> {
  const { callerUrl } = opts.daemon ?? deployment.daemons[0];
  const headers = { authorization: `Bearer ${apiKeyOf(opts.customer ?? "c")}`, ...opts.headers };
  const response = await fetch(callerUrl + path, { method: opts.method ?? "POST", body: opts.body, headers });
  return {
    status: response.status,
    type: response.headers.get("content-type"),
    body: await response.json() as IProblem & { id: string; next_step: number },
  };
}

function newCaller(observations: CallerObservations): ProgramCaller {
  const targetUrls = () => deployment.daemons.map(({ callerUrl }) => callerUrl);
  let nextTarget = 0;
  return new ProgramCaller({
    customer: "c",
    instanceUrls: targetUrls,
    observations,
    chooseInstance: (count) => nextTarget++ % count,
  });
}

async function open(): Promise<string> {
  const { body } = await request("/v1/programs", { body: JSON.stringify({ kind: "quick" }) });
  return body.id;
}

const STEP_1 = { "ragwortcleat-step": "1" };
const CALL = JSON.stringify({ model: "m", messages: [{ role: "user", content: "hello" }] });

test.serial("invalid requests get a typed problem and change nothing", async (t) => {
  const id = await open();
  const chat = `/v1/programs/${id}/chat/completions`;
  const cases: [string, Parameters<typeof request>[1], number, string][] = [
    ["/v1/programs", { body: "{" }, 400, "bad-request"],
    ["/v1/programs", { body: JSON.stringify({ kind: "no-such" }) }, 400, "bad-request"],
    ["/v1/programs", { body: JSON.stringify({ kind: "quick", extra: 1 }) }, 400, "bad-request"],
    ["/v1/nothing", {}, 404, "not-found"],
    ["/v1/programs/test-none/chat/completions", { body: CALL, headers: STEP_1 }, 404, "unknown-program"],
    [chat, { body: CALL, headers: STEP_1, customer: "other" }, 404, "unknown-program"],
    [chat, { body: CALL, headers: { ...STEP_1, authorization: "Bearer wrong" } }, 401, "unauthorized"],
    [chat, { body: CALL }, 400, "bad-request"],
    [chat, { body: CALL, headers: { "ragwortcleat-step": "7" } }, 409, "wrong-step"],
    [chat, { body: CALL.replace('"m"', '"none"'), headers: STEP_1 }, 404, "unknown-model"],
    [chat, { body: JSON.stringify({ model: "m", messages: [] }), headers: STEP_1 }, 400, "bad-request"],
    [chat, { body: JSON.stringify({ pad: "x".repeat(9_000_000) }), headers: STEP_1 }, 413, "too-large"],
    [`/v1/programs/${id}/services/none/act`, { body: "{}", headers: STEP_1 }, 404, "unknown-service"],
    [`/v1/programs/${id}/services/api/act`, { body: "no json", headers: STEP_1 }, 400, "bad-request"],
  ];
  for (const [path, opts, status, title] of cases) {
    const response = await request(path, opts);
    t.is(response.status, status, `${path} ${JSON.stringify(response.body)}`.slice(0, 300));
    t.is(response.body.title, title);
    t.is(response.body.ran, "not-run");
    t.is(response.type, "application/problem+json");
  }
  const { body } = await request(`/v1/programs/${id}`, { method: "GET" });
  t.is(body.next_step, 1);
});

test.serial("a repeated step returns the recorded answer, a changed one is rejected", async (t) => {
  const id = await open();
  const chat = `/v1/programs/${id}/chat/completions`;
  const [first, second] = [
    await request(chat, { body: CALL, headers: STEP_1, daemon: deployment.daemons[1] }),
    await request(chat, { body: CALL, headers: STEP_1, daemon: deployment.daemons[2] }),
  ];
  t.is(first.status, 200);
  t.deepEqual(
    (second.body as unknown as { choices: object }).choices,
    (first.body as unknown as { choices: object }).choices,
  );
  const changed = await request(chat, { body: CALL.replace("hello", "other"), headers: STEP_1 });
  t.is(changed.body.title, "step-conflict");
});

test.serial("a client may send the whole session with each call", async (t) => {
  const id = await open();
  const chat = `/v1/programs/${id}/chat/completions`;
  await request(chat, { body: CALL, headers: STEP_1 });
  const answer = expectedAnswerTokens([{ content: "hello" }], 1024).join("");
  const messages = [{ role: "user", content: "hello" }, { role: "assistant", content: answer }];
  const next = { role: "user", content: "more" };
  const headers = { "ragwortcleat-step": "2" };
  const contradicting = JSON.stringify({
    model: "m",
    messages: [{ ...messages[0], content: "no" }, messages[1], next],
  });
  t.is((await request(chat, { body: contradicting, headers })).body.title, "history-conflict");
  const body = JSON.stringify({ model: "m", messages: [...messages, next] });
  t.is((await request(chat, { body, headers })).status, 200);
});

test.serial("a caller that disconnects mid-stream finds the answer recorded", async (t) => {
  const observations = new CallerObservations();
  const caller = newCaller(observations);
  await caller.open({ kind: "quick" }, "leaver");
  const abort = new AbortController();
  const messages = [{ role: "user", content: "answer:200" }];
  const response = await fetch(
    `${deployment.daemons[0].callerUrl}/v1/programs/${caller.id}/chat/completions`,
    {
      method: "POST",
      signal: abort.signal,
      headers: { authorization: `Bearer ${apiKeyOf("c")}`, "ragwortcleat-history": "append", ...STEP_1 },
      body: JSON.stringify({ model: "m", messages, stream: true, max_tokens: 200 }),
    },
  );
  await response.body!.getReader().read();
  abort.abort();
  const answer = await caller.callModel("m", { content: "answer:200", maxTokens: 200, stream: true });
  t.is(answer, expectedAnswerTokens(messages, 200).join(""));
  const { turns } = await caller.history();
  t.is(turns.length, 1);
});

test.serial("operators can publish a configuration and learn when a publication is rejected", async (t) => {
  const file = join(mkdtempSync(join(tmpdir(), "ragwortcleat-cli-")), "cfg.jsonc");
  writeFileSync(file, JSON.stringify({ ...TEST_CONFIGURATION, activePreset: "peak" }));
  const [{ callerUrl }] = deployment.daemons;
  const env = { ...process.env, RAGWORTCLEAT_OPERATOR_KEY: OPERATOR_KEY };
  const cli = (...args: string[]) =>
    run(
      process.execPath,
      [CLI, ...args, "--json", "--instance", callerUrl, "--log", deployment.platformUrl],
      { env },
    );
  const published = JSON.parse((await cli("config", "publish", file)).stdout);
  t.is(published.verdict, "accepted");
  const stale = await t.throwsAsync(cli("config", "publish", file, "--base", "0"));
  t.is((stale as unknown as { code: number }).code, 3);
  for (const daemon of deployment.daemons) {
    while ((await status(daemon)).configuration_version < published.offset) await sleep(10);
    t.is((await status(daemon)).preset, "peak");
  }
  t.is(JSON.parse((await cli("preset", "use", "ordinary")).stdout).preset, "ordinary");
  t.is(JSON.parse((await cli("instance", "list")).stdout).length, 3);
  t.true(JSON.parse((await cli("backend", "list")).stdout).engines.length === 2);
  t.true(JSON.parse((await cli("metrics")).stdout)["ragwortcleat_programs"] > 0);
  // Decisions are stored by the owner of the program.
  const decisions = await Promise.all(
    deployment.daemons.map(({ callerUrl: url }) =>
      run(process.execPath, [CLI, "decisions", "--json", "--instance", url], { env })
    ),
  );
  t.true(decisions.some(({ stdout }) => stdout.includes('"kind":"engine"')));
  const refused = await t.throwsAsync(
    run(process.execPath, [CLI, "instance", "list", "--instance", callerUrl]),
  );
  t.is((refused as unknown as { code: number }).code, 1);
});

async function status(
  { callerUrl }: IDaemonProcess,
): Promise<{ configuration_version: number; preset: string }> {
  const headers = { authorization: `Bearer ${OPERATOR_KEY}` };
  const response = await fetch(`${callerUrl}/operator/v1/status`, { headers });
  return await response.json() as { configuration_version: number; preset: string };
}

/** Returns the number of tokens that the engines have generated so far. */
async function generatedTokens(): Promise<number> {
  const stats = await Promise.all(deployment.engines.map(async ({ address }) => {
    const response = await fetch(`http://${address}/control/stats`);
    return await response.json() as { generatedTokens: number };
  }));
  return stats.reduce((sum, { generatedTokens }) => sum + generatedTokens, 0);
}

/** Waits until the engines have generated more tokens than before, so that calls are mid-stream. */
async function waitUntilGenerating(before: number): Promise<void> {
  while (await generatedTokens() <= before) await sleep(5);
}

test.serial("9: instances replaced one after the other cut no stream", async (t) => {
  const observations = new CallerObservations();
  for (let round = 0; round < 3; round++) {
    const stoppedDaemon = deployment.daemons[0];
    const callers = [0, 1, 2].map(() =>
      // All calls go through the instance that is stopped.
      new ProgramCaller({
        customer: "c",
        instanceUrls: () => [stoppedDaemon.callerUrl],
        observations,
        chooseInstance: () => 0,
      })
    );
    await Promise.all(
      callers.map((caller, index) => caller.open({ kind: "quick" }, `roll-${round}-${index}`)),
    );
    const before = await generatedTokens();
    const streams = callers.map((caller) =>
      caller.callModel("m", { content: "answer:300", maxTokens: 300, stream: true })
    );
    await waitUntilGenerating(before);
    stoppedDaemon.child.kill("SIGTERM");
    await Promise.all(streams);
    t.is(await waitForExit(stoppedDaemon.child), 0);
    deployment.daemons.shift();
    const settings = { ...stoppedDaemon.settings, instanceId: `entry-${round + 3}` };
    deployment.daemons.push(deployment.startDaemon(settings));
    await deployment.publishInstanceList();
    await deployment.awaitReady(deployment.daemons[2]);
  }
  t.deepEqual(observations.wrongAnswers, []);
  t.is(observations.retries, 0);
});

test.serial("7: an instance that is suspended and resumed runs nothing twice", async (t) => {
  const observations = new CallerObservations();
  const suspendedDaemon = deployment.daemons[1];
  const others = deployment.daemons.filter((daemon) => daemon !== suspendedDaemon).map(({ callerUrl }) =>
    callerUrl
  );
  const callers = Array.from(
    { length: 8 },
    () =>
      new ProgramCaller({ customer: "c", instanceUrls: () => others, observations, chooseInstance: () => 0 }),
  );
  await Promise.all(callers.map((caller, index) => caller.open({ kind: "quick" }, `frozen-${index}`)));
  const before = await generatedTokens();
  const bids = Promise.all(callers.map(async (caller, index) => {
    await caller.callModel("m", { content: "answer:60", maxTokens: 60, stream: true });
    await caller.callService("api/act", { body: { index }, key: `frozen-bid-${index}` });
  }));
  await waitUntilGenerating(before);
  suspendedDaemon.child.kill("SIGSTOP");
  await bids;
  suspendedDaemon.child.kill("SIGCONT");
  await deployment.awaitReady(suspendedDaemon);
  const counts = new Map<string, number>();
  for (const { address } of deployment.services) {
    const stats = await (await fetch(`http://${address}/control/stats`)).json() as {
      counts: Record<string, number>;
    };
    for (const [key, count] of Object.entries(stats.counts)) counts.set(key, (counts.get(key) ?? 0) + count);
  }
  const duplicates = [...counts].filter(([key, count]) => key.includes("frozen-bid") && count > 1);
  t.deepEqual(duplicates, []);
  t.deepEqual(observations.wrongAnswers, []);
});
