package org.lentilsail.http;

/**
 * One header field.
 *
 * @param name name of the field
 * @param value value of the field
 */
public record HttpField(String name, String value) {}
