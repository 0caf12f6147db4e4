import js from '@eslint/js';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';

/** Google TypeScript Style Guide and house rules, as far as a linter can check them. */
export default tseslint.config(
  {ignores: ['**/dist/**', '**/gen/**', '**/node_modules/**']},
  js.configs.recommended,
  ...tseslint.configs.recommended,
  {
    files: ['**/*.ts'],
    plugins: {jsdoc},
    rules: {
      '@typescript-eslint/consistent-type-imports': [
        'error',
        {prefer: 'type-imports', fixStyle: 'separate-type-imports'},
      ],
      '@typescript-eslint/naming-convention': [
        'error',
        {selector: 'typeLike', format: ['PascalCase']},
        {selector: 'function', format: ['camelCase']},
        {selector: 'classMethod', format: ['camelCase']},
      ],
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/no-explicit-any': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      curly: ['error', 'multi-line'],
      'no-console': 'off',
      'no-var': 'error',
      'prefer-const': 'error',
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use named exports (Google TypeScript Style Guide).',
        },
        {selector: 'TSEnumDeclaration[const=true]', message: 'Use a plain enum or a union type.'},
      ],
      'max-lines': ['error', {max: 400, skipBlankLines: false, skipComments: false}],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/__tests__/**', '**/__fixtures__/**'],
    plugins: {jsdoc},
    rules: {
      'jsdoc/require-jsdoc': [
        'error',
        {
          publicOnly: true,
          require: {FunctionDeclaration: true, ClassDeclaration: true},
          contexts: ['TSInterfaceDeclaration', 'TSTypeAliasDeclaration'],
        },
      ],
      'max-lines-per-function': ['error', {max: 80, skipBlankLines: true, skipComments: true}],
    },
  },
  {
    // A folder that gateway_parts.ts puts together names what it needs in an interface of its own. Importing the parts there would
    // make an import circle, and whoever takes one folder would need all.
    files: [
      'packages/gateway/src/{admission,key_lease,logs,peers,poison,quota,regional_shares,workspaces}/**/*.ts',
    ],
    rules: {
      'no-restricted-imports': [
        'error',
        {patterns: [{group: ['**/gateway_parts', '**/gateway', '**/pages/*']}]},
      ],
    },
  },
  {
    files: ['scripts/**/*.mjs'],
    languageOptions: {globals: {console: 'readonly', process: 'readonly', URL: 'readonly'}},
  },
);
