/**
 * Generates TypeScript from the JSON Schemas of the settings: types, the schemas as constants for runtime
 * validation, and a precompiled validator for the gateway.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { Ajv } from "ajv";
import standalone from "ajv/dist/standalone/index.js";
import { compile } from "json-schema-to-typescript";

const standaloneCode = standalone.default;

interface ISchemaNode {
  properties?: Record<string, ISchemaNode>;
  definitions?: Record<string, ISchemaNode>;
  required?: string[];
  default?: unknown;
}

const SCHEMAS = [
  { file: "daemon", out: "daemon_settings", constant: "DAEMON_SCHEMA" },
  { file: "configuration", out: "configuration", constant: "CONFIGURATION_SCHEMA" },
  { file: "open_program", out: "open_program", constant: "OPEN_PROGRAM_SCHEMA" },
  { file: "gateway", out: "gateway_settings", constant: "GATEWAY_SCHEMA" },
  { file: "chat_completion", out: "chat_completion", constant: "CHAT_COMPLETION_SCHEMA" },
];
const OUT_DIR = "src/services/settings/common/gen";

/** Marks properties with a default as required, since validation fills them in. */
function markDefaultedRequired(node: ISchemaNode): void {
  const properties = Object.entries(node.properties ?? {});
  const defaulted = properties.filter(([, child]) => child.default !== undefined).map(([name]) => name);
  if (defaulted.length > 0) node.required = [...new Set([...node.required ?? [], ...defaulted])];
  const children = [...properties, ...Object.entries(node.definitions ?? {})];
  children.forEach(([, child]) => markDefaultedRequired(child));
}

async function generate({ file, out, constant }: typeof SCHEMAS[number]): Promise<void> {
  const schema = JSON.parse(readFileSync(`schema/${file}.schema.json`, "utf8"));
  const schemaForTypes = structuredClone(schema);
  markDefaultedRequired(schemaForTypes);
  const types = await compile(schemaForTypes, schema.title, {
    bannerComment: "// Generated from schema/ by scripts/generate_schemas.ts.",
    unreachableDefinitions: false,
  });
  const json = JSON.stringify(schema, undefined, 2);
  const text = `${types}\n/** JSON Schema of the settings above. */\nexport const ${constant} = ${json};\n`;
  writeFileSync(`${OUT_DIR}/${out}.ts`, text);
}

/** Generates a validator as code, so that the gateway does not spend start-up time compiling one. */
function generateValidator(file: string): void {
  const ajv = new Ajv({
    useDefaults: true,
    allErrors: true,
    verbose: true,
    code: { source: true, esm: true },
  });
  const validate = ajv.compile(JSON.parse(readFileSync(`schema/${file}.schema.json`, "utf8")));
  const banner =
    "// Generated from schema/ by scripts/generate_schemas.ts.\n// @ts-nocheck: the library generates plain JavaScript.\n";
  writeFileSync(`${OUT_DIR}/${file}_validator.ts`, `${banner}${standaloneCode(ajv, validate)}\n`);
}

for (const schema of SCHEMAS) {
  await generate(schema);
}
generateValidator("gateway");
