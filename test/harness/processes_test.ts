import { existsSync, rmSync } from "node:fs";
import { join } from "node:path";
import test from "ava";
import { TEST_CONFIGURATION } from "./configuration.ts";
import { Deployment } from "./processes.ts";

// Guards against a start that fails and leaves nothing to tell why.
test("the logs of a deployment that does not start are kept", async (t) => {
  const deployment = new Deployment({
    region: "test",
    zones: ["zone-a"],
    daemons: 1,
    engines: { count: 0, models: "m" },
    services: { count: 0, name: "api" },
    customers: ["c"],
    configuration: JSON.stringify(TEST_CONFIGURATION),
    timing: { heartbeatMs: 0 },
  });
  t.teardown(() => rmSync(deployment.dir, { recursive: true }));
  await t.throwsAsync(deployment.start(), { message: /entry-0 exited/ });
  await deployment.stop();
  t.true(existsSync(join(deployment.dir, "entry-0.log")));
});
