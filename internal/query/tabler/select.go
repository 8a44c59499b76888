package tabler

import (
	"github.com/cockroachdb/errors"

	"lentilrock.example/internal/query/parser"
)

// Select applies the conditions, order and limit of a query to the rows. It returns an error if the
// query names an unknown column.
func (t *Table) Select(s *parser.Show) error {
	if err := t.Filter(s.Where); err != nil {
		return err
	}
	if s.Order != nil {
		if err := t.OrderBy(s.Order.Column, s.Order.Descending); err != nil {
			return errors.Errorf("apply order: %w", err)
		}
	}
	if s.Limit != nil {
		t.Limit(*s.Limit)
	}
	return nil
}

// Filter keeps the rows that match all conditions. It returns an error if a condition names an unknown
// column.
func (t *Table) Filter(conditions []parser.Condition) error {
	for _, c := range conditions {
		if err := t.Where(c.Column, Operator(c.Operator), c.Value); err != nil {
			return errors.Errorf("apply where: %w", err)
		}
	}
	return nil
}
