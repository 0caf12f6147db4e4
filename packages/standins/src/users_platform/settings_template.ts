/**
 * Renders a settings file from a template, as the users' platform does at each start of a process. Supports placeholders
 * of the form `{{a.b.0}}` and `{{a.b|json}}`; sections are not supported, because the project's template needs none.
 */

const placeholderPattern = /\{\{([^}|]*)(\|json)?\}\}/g;
const sectionPattern = /^[#^/,@.]/;

/** Renders a template with the given fields. Throws when it contains a section. */
export function renderTemplate(template: string, fields: unknown): string {
  return template.replace(placeholderPattern, (_whole, path: string, asJson?: string) => {
    if (sectionPattern.test(path)) throw new Error(`template section "${path}" is not supported`);
    const value = path.split('.').reduce<unknown>(fieldOf, fields);
    return asJson === undefined ? plainText(value) : (JSON.stringify(value) ?? '');
  });
}

function fieldOf(value: unknown, name: string): unknown {
  return typeof value === 'object' && value !== null
    ? (value as Record<string, unknown>)[name]
    : undefined;
}

function plainText(value: unknown): string {
  if (value === undefined) return '';
  return typeof value === 'string' ? value : JSON.stringify(value);
}
