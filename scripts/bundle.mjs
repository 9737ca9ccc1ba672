/**
 * Bundles the entry instance of the users' platform into one file under target/.
 *
 * @module
 */
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

await build({
  absWorkingDir: fileURLToPath(new URL('..', import.meta.url)),
  entryPoints: ['packages/bilberryd/dist/edge/main.js'],
  outfile: 'target/bilberryd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // CommonJS dependencies ask for Node's own modules by `require`.
  banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
  // bunyan's optional dependencies, none of which this program uses.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'moment'],
  logLevel: 'warning'
})
