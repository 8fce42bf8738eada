/** The routes and services of a small installation, with the values of the users' example. */

export const TOKENS_PER_EVENT = 22;
export const MAX_BODY_BYTES = 4_194_304;
export const HOST = "app.example";

const TURN = { Host: HOST, Kind: "stream", TimeoutMs: 3000, TargetLatencyMs: 200, Attempts: 2, Service: "models", RetainS: 60, Sticky: true, GapAimMs: 250 };

export function configuration({ version = 1, routes = {}, limits = {} } = {}) {
  const all = {
    kept: { ...TURN, Name: "r-kept", PathPrefix: "/kept/", Priority: 0, KeepContext: true, Resumable: false },
    turn: { ...TURN, Name: "r-turn", PathPrefix: "/turn/", Priority: 1, KeepContext: false, Resumable: true },
    safe: { Name: "r-safe", Host: HOST, PathPrefix: "/safe/", Kind: "safe", TimeoutMs: 1200, TargetLatencyMs: 150, Priority: 2, Service: "tools", Attempts: 3 },
    unsafe: { Name: "r-unsafe", Host: HOST, PathPrefix: "/unsafe/", Kind: "unsafe", TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 2, Service: "tools", Attempts: 3 },
    ...routes,
  };
  return {
    Version: version,
    Routes: Object.values(all).filter((route) => route !== undefined),
    Services: [
      { Name: "models", HealthPath: "/health", MaxConns: 170, Protocol: "h1", Tls: false, Engine: { Slots: 16, KvCapacity: 585_539, KvTokenBytes: 18_432, LinkMbps: 1_100_000, Moves: true, Backups: true, TokensPerEvent: TOKENS_PER_EVENT, most: 12, PinMs: 4000, HoldMs: 2000, handle_s: 5, Models: [{ Name: "m" }] } },
      { Name: "tools", HealthPath: "/health", MaxConns: 100, Protocol: "h1", Tls: false },
    ],
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: MAX_BODY_BYTES, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, ...limits },
  };
}

/** Serves a stream of events with ids from 0, `gapMs` apart; stops when its channel closes. */
export function streamOf({ events, gapMs, data = (index) => `token-${index}` }) {
  return ({ req, res, run, own }) => {
    const last = req.headers["last-event-id"];
    let index = last === undefined || last === "" ? 0 : Number(last) + 1;
    const count = typeof events === "function" ? events(run) : events;
    res.writeHead(200, { ...own, "content-type": "text/event-stream", "ragwortcleat-weight-versions": "1" });
    const next = () => {
      if (res.destroyed) return;
      if (index >= count) return void res.end();
      res.write(`id: ${index}\ndata: ${data(index)}\n\n`);
      run.events += 1;
      index += 1;
      setTimeout(next, gapMs);
    };
    setTimeout(next, gapMs);
  };
}

export function turnHeaders({ program, session = program, budget, maxTokens, previous, finishMs = 10_000, deadlineMs = 3000, promptTokens = 840 }) {
  return {
    "ragwortcleat-program": program,
    "ragwortcleat-session": session,
    "ragwortcleat-finish-ms": String(finishMs),
    "ragwortcleat-token-budget": String(budget),
    "ragwortcleat-token-count": `${promptTokens},${maxTokens}`,
    "ragwortcleat-model": "m",
    "ragwortcleat-prompt-prefix": `5c1e07a2:12600,${session}:${promptTokens}`,
    "ragwortcleat-deadline-ms": String(deadlineMs),
    ...(previous === undefined ? {} : { "ragwortcleat-previous-turn": previous }),
  };
}

export function countEvents(body) {
  return body.split("\n\n").filter((event) => event.startsWith("id:")).length;
}
