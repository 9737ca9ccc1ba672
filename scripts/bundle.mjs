/**
 * Bundles the entry instance of the users' platform from its sources into one file under target/.
 *
 * @module
 */
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const ownPackages = ['callers', 'steering', 'targets']

await build({
  absWorkingDir: fileURLToPath(new URL('..', import.meta.url)),
  entryPoints: ['packages/bilberryd/src/edge/main.ts'],
  outfile: 'target/bilberryd.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // The packages' sources stand for their compiled files, so that neither the compiler nor any test is needed.
  alias: {
    '@bilberryworks/users-platform': './platform/src/mod.ts',
    ...Object.fromEntries(ownPackages.map(name => [`@bilberryworks/${name}`, `./packages/${name}/src/mod.ts`]))
  },
  // CommonJS dependencies ask for Node's own modules by `require`.
  banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
  // bunyan's optional dependencies, none of which this program uses.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'moment'],
  logLevel: 'warning'
})
