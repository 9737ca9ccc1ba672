/**
 * Bundles the sources of the entry instance for the users' platform into one file, target/bilberryd.mjs.
 *
 * @module
 */
import { renameSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { build } from 'esbuild'

const root = fileURLToPath(new URL('..', import.meta.url))
/** File that takes the place of the bundle once it is whole. */
const unfinished = `target/.bilberryd-${process.pid}.mjs`
const ownPackages = ['callers', 'steering', 'targets']

await build({
  absWorkingDir: root,
  entryPoints: ['packages/bilberryd/src/edge/main.ts'],
  outfile: unfinished,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Resolves the workspace packages to their sources, so that the bundle does not need a TypeScript build first.
  alias: {
    '@bilberryworks/users-platform': './platform/src/mod.ts',
    ...Object.fromEntries(ownPackages.map(name => [`@bilberryworks/${name}`, `./packages/${name}/src/mod.ts`]))
  },
  // CommonJS dependencies load Node's built-in modules by `require`, which an ES module does not define.
  banner: { js: 'import { createRequire } from "node:module"; const require = createRequire(import.meta.url);' },
  // Optional dependencies of bunyan, which this program does not use.
  external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'moment'],
  logLevel: 'warning'
})
renameSync(`${root}${unfinished}`, `${root}target/bilberryd.mjs`)
