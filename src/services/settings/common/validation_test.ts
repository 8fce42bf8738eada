import test from "ava";
import { TEST_CONFIGURATION } from "../../../../test/harness/configuration.ts";
import { SettingsError } from "./settings_text.ts";
import { parseConfiguration } from "./validation.ts";

function issuesOf(text: string) {
  try {
    parseConfiguration(text, "cfg.jsonc");
    return [];
  } catch (err) {
    return err instanceof SettingsError ? err.issues : [];
  }
}

test("an issue names its position, the value found and the allowed values", (t) => {
  const text = JSON.stringify(TEST_CONFIGURATION, undefined, 2).replace(
    '"maxQueueMs": 2000',
    '"maxQueueMs": -1',
  );
  const [issue] = issuesOf(text);
  t.is(issue.key, "presets.peak.maxQueueMs");
  t.is(issue.found, "-1");
  t.is(issue.allowed, "integer from 1 to 600000");
  t.is(text.split("\n")[issue.line - 1].slice(issue.column - 1), "-1");
});

test("unknown keys, missing keys and unknown presets are reported", (t) => {
  t.is(issuesOf(JSON.stringify({ ...TEST_CONFIGURATION, extra: 1 }))[0].key, "extra");
  t.is(issuesOf(JSON.stringify({ ...TEST_CONFIGURATION, models: undefined }))[0].key, "models");
  t.is(
    issuesOf(JSON.stringify({ ...TEST_CONFIGURATION, activePreset: "none" }))[0].allowed,
    "one of ordinary, peak",
  );
  t.is(issuesOf("{ nonsense").length > 0, true);
});

test("comments are allowed and defaults are filled in", (t) => {
  const cfg = parseConfiguration(`// a comment\n${JSON.stringify(TEST_CONFIGURATION)}`, "cfg.jsonc");
  t.is(cfg.presets.ordinary.maxQueueMs, 20_000);
  t.is(cfg.placement.loadsAtOnce, 2);
});
