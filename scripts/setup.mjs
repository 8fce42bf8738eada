/** Installs the packages of the lock file and builds, where that has not been done. */
import { spawnSync } from "node:child_process";
import { existsSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import process from "node:process";

const STAMP = "node_modules/.installed-lock.json";

function run(command, args) {
  const result = spawnSync(command, args, { stdio: ["ignore", 2, 2] });
  if (result.status !== 0) {
    console.error(`${command} ${args.join(" ")} ended with ${result.status}`);
    process.exit(1);
  }
}

const lock = readFileSync("package-lock.json", "utf8");
if (!existsSync(STAMP) || readFileSync(STAMP, "utf8") !== lock) {
  run("npm", ["ci", "--no-audit", "--no-fund"]);
  writeFileSync(STAMP, lock);
}
rmSync("dist", { recursive: true, force: true });
run("npx", ["tsc", "-p", "tsconfig.json"]);
