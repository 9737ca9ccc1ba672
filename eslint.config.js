import neostandard, { plugins } from 'neostandard'

const verbs = (await import('./scripts/verbs.mjs')).verbs

/** Lint rule: requires that the name of each function declaration begins with a verb that docs/STYLE.md lists. */
const verbFirst = {
  meta: { type: 'suggestion', schema: [], messages: { verb: 'Name of function "{{name}}" does not begin with a verb that docs/STYLE.md lists' } },
  create (context) {
    return {
      FunctionDeclaration (node) {
        const name = node.id?.name ?? ''
        const first = /^[a-z]+/.exec(name)?.[0] ?? ''
        if (!verbs.has(first)) context.report({ node, messageId: 'verb', data: { name } })
      }
    }
  }
}

const boundedBodies = 'Read bodies by the BodyReader of @bilberryworks/steering, which bounds what is held'

export default [
  ...neostandard({ ts: true, ignores: ['**/dist/**', 'target/**', 'node_modules/**'] }),
  {
    files: ['packages/**/*.ts', 'platform/**/*.ts'],
    plugins: { '@typescript-eslint': plugins['typescript-eslint'].plugin, bilberryworks: { rules: { 'verb-first': verbFirst } } },
    rules: {
      'bilberryworks/verb-first': 'error',
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      'max-lines-per-function': ['error', { max: 120, skipBlankLines: true, skipComments: true }],
      'max-depth': ['error', 4]
    }
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/*_test.ts', 'packages/standins/**'],
    rules: {
      'no-restricted-imports': ['error', { paths: ['stream/consumers', 'node:stream/consumers'].map(name => ({ name, message: boundedBodies })) }],
      'no-restricted-syntax': ['error', { selector: 'CallExpression[callee.property.name=/^(arrayBuffer|blob|bytes|dump|formData|json|text|toArray)$/]', message: boundedBodies }]
    }
  }
]
